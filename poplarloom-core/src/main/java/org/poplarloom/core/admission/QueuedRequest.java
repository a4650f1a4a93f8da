package org.poplarloom.core.admission;

import org.poplarloom.core.InstanceId;
import org.poplarloom.core.request.GrantRequest;

/**
 * A request that waits for endpoints at a home.
 * <p>
 * This class is immutable and thread-safe.
 *
 * @param holder the instance that would hold the grant
 * @param request the request
 * @param sequence the number of requests that were queued at the home before it
 */
public record QueuedRequest(InstanceId holder, GrantRequest request, long sequence) {
}
