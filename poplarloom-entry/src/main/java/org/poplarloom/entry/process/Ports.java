package org.poplarloom.entry.process;

import org.poplarloom.entry.Settings;
import org.poplarloom.port.EndpointPort;
import org.poplarloom.port.InstanceListPort;
import org.poplarloom.port.LogPort;
import org.poplarloom.port.ReportPort;
import org.poplarloom.port.ServicePort;
import org.poplarloom.port.http.HttpEndpoint;
import org.poplarloom.port.http.HttpInstanceList;
import org.poplarloom.port.http.HttpLog;
import org.poplarloom.port.http.HttpService;
import org.poplarloom.port.http.PlatformClient;

/**
 * What an instance reaches outside its peers.
 * <p>
 * The log, the engines and the services are null where requests are only relayed. This
 * class is immutable and thread-safe.
 *
 * @param log the platform's log
 * @param list the platform's list of instances
 * @param reports what endpoints say of themselves
 * @param endpoints the model engines
 * @param services the plain services
 * @param closing ends the connections that the ports share
 */
public record Ports(LogPort log, InstanceListPort list, ReportPort reports, EndpointPort endpoints,
		ServicePort services, Runnable closing) {

	/**
	 * Returns the ports to a platform that speaks the project's own protocols.
	 * @param settings the addresses
	 * @return the ports
	 */
	public static Ports overHttp(Settings settings) {
		PlatformClient client = PlatformClient.create();
		HttpEndpoint endpoints = new HttpEndpoint(client);
		return new Ports(new HttpLog(client, settings.logAddress()),
				new HttpInstanceList(client, settings.listAddress()), endpoints, endpoints, new HttpService(client),
				client::close);
	}

	/**
	 * Returns the ports of an instance that relays requests and keeps no books.
	 * @param list the platform's list of instances
	 * @param reports what endpoints say of themselves
	 * @return the ports
	 */
	public static Ports forRelay(InstanceListPort list, ReportPort reports) {
		return new Ports(null, list, reports, null, null, () -> {
		});
	}

	/**
	 * Ends the connections that the ports share.
	 */
	public void close() {
		this.closing.run();
	}

}
