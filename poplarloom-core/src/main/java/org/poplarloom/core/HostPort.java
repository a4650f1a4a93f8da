package org.poplarloom.core;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The IP address and the port of an endpoint or an instance.
 * <p>
 * The host is an IP address in its text form and never a name, so that no connection
 * waits for a name service. The port is 1 to 65535. This class is immutable and
 * thread-safe.
 *
 * @param host the IPv4 address, or the IPv6 address in brackets
 * @param port the port
 */
public record HostPort(String host, int port) {

	/** The highest port. */
	public static final int MAX_PORT = 65_535;

	private static final String BYTE = "(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

	private static final Pattern IPV4 = Pattern.compile(BYTE + "(?:\\." + BYTE + "){3}");

	private static final Pattern IPV6 = Pattern.compile("\\[[0-9a-fA-F:.]{2,45}]");

	/** The address that stands for any address, to which nobody can connect. */
	private static final String ANY_ADDRESS = "0.0.0.0";

	private static final Pattern TEXT = Pattern.compile("([^\\[\\]:]*|\\[[^\\[\\]]*]):([0-9]{1,5})");

	public HostPort {
		if (!isAddress(host) || port < 1 || port > MAX_PORT) {
			throw invalid(host + ":" + port);
		}
	}

	/**
	 * Reads the text form.
	 * @param text the IP address and the port, separated by a colon
	 * @return the address
	 * @throws PoplarloomException if the text is null or is not an IP address and a port
	 */
	public static HostPort parse(String text) {
		Matcher matcher = (text != null) ? TEXT.matcher(text) : null;
		if (matcher == null || !matcher.matches()) {
			throw invalid(text);
		}
		return new HostPort(matcher.group(1), Integer.parseInt(matcher.group(2)));
	}

	private static boolean isAddress(String host) {
		if (IPV4.matcher(host).matches()) {
			return !host.equals(ANY_ADDRESS);
		}
		if (!IPV6.matcher(host).matches()) {
			return false;
		}
		try {
			// No name service is called for an address in brackets.
			return !InetAddress.getByName(host).isAnyLocalAddress();
		}
		catch (UnknownHostException ex) {
			return false;
		}
	}

	private static PoplarloomException invalid(String text) {
		return new PoplarloomException(ErrorCode.INVALID_IDENTIFIER,
				"address must be an IP address and a port from 1 to " + MAX_PORT + ", but was '"
						+ Quotes.shortened(text) + "'");
	}

	/**
	 * Returns the address to connect to.
	 * @return the address, which is resolved
	 */
	public InetSocketAddress toSocketAddress() {
		return new InetSocketAddress(this.host, this.port);
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
