package org.poplarloom.entry.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

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
 * The ports of an instance to all systems other than its peers.
 * <p>
 * The log, the engines and the services are null at an instance that only relays
 * requests. This class is immutable and thread-safe.
 *
 * @param log the platform's log
 * @param list the platform's list of instances
 * @param reports the load reports of the endpoints
 * @param endpoints the model engines
 * @param services the plain services
 * @param closeAction closes the connections that the ports share
 */
public record Ports(LogPort log, InstanceListPort list, ReportPort reports, EndpointPort endpoints,
		ServicePort services, Runnable closeAction) {

	/**
	 * Returns the ports to a platform that uses this project's own HTTP protocols.
	 * @param settings the addresses
	 * @return the ports
	 */
	public static Ports overHttp(Settings settings) {
		PlatformClient platform = PlatformClient.forPlatform();
		PlatformClient endpointClient = PlatformClient.forEndpoints();
		HttpEndpoint endpoints = new HttpEndpoint(endpointClient);
		EventLoopGroup services = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("services", true),
				NioIoHandler.newFactory());
		return new Ports(new HttpLog(platform, settings.logAddress()),
				new HttpInstanceList(platform, settings.listAddress()), endpoints, endpoints,
				new HttpService(services.next()), () -> {
					platform.close();
					endpointClient.close();
					services.shutdownGracefully();
				});
	}

	/**
	 * Returns the ports of an instance that only relays requests.
	 * @param list the platform's list of instances
	 * @param reports the load reports of the endpoints
	 * @return the ports
	 */
	public static Ports forRelay(InstanceListPort list, ReportPort reports) {
		return new Ports(null, list, reports, null, null, () -> {
		});
	}

	/**
	 * Closes the connections that the ports share.
	 */
	public void close() {
		this.closeAction.run();
	}

}
