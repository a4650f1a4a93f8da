package org.poplarloom.port;

import org.reactivestreams.Publisher;

import org.poplarloom.core.process.EndpointReport;

/**
 * Access to the load reports of endpoints.
 * <p>
 * Implementations are thread-safe.
 */
public interface ReportPort {

	/**
	 * Reads the load report of an endpoint.
	 * @param address the endpoint's host and port
	 * @return the report, or an error if the endpoint cannot be reached
	 */
	Publisher<EndpointReport> report(String address);

}
