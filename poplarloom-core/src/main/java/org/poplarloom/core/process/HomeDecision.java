package org.poplarloom.core.process;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.GrantDecision;

/**
 * A decision of a home and the instance that has to learn it.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param holder the instance that asked
 * @param decision the decision
 */
public record HomeDecision(InstanceId holder, GrantDecision decision) {
}
