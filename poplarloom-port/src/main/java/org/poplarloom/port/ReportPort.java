package org.poplarloom.port;

import org.reactivestreams.Publisher;

import org.poplarloom.core.process.EndpointReport;

/**
 * Where endpoints say how they are.
 * <p>
 * Implementations are thread-safe.
 */
public interface ReportPort {

	/**
	 * Reads the load report.
	 * @param address the endpoint's host and port
	 * @return the report, or an error if the endpoint cannot be reached
	 */
	Publisher<EndpointReport> report(String address);

}
