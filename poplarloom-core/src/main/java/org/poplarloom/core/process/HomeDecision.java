package org.poplarloom.core.process;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.GrantDecision;

/**
 * A decision of a shard's home and the instance to which it is sent.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param holder the instance that requested the grant
 * @param decision the decision
 */
public record HomeDecision(InstanceId holder, GrantDecision decision) {
}
