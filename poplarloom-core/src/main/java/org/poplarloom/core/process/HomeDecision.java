package org.poplarloom.core.process;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.admission.AdmissionRule;
import org.poplarloom.core.request.GrantDecision;

/**
 * A decision of a shard's home and the instance to which it is sent.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param holder the instance that requested the grant
 * @param decision the decision
 * @param rule the rule by which the request was refused, or has waited for longer than
 * its latency target allows; {@link AdmissionRule#NONE} if no rule applies
 */
public record HomeDecision(InstanceId holder, GrantDecision decision, AdmissionRule rule) {

	public HomeDecision(InstanceId holder, GrantDecision decision) {
		this(holder, decision, AdmissionRule.NONE);
	}

}
