package org.poplarloom.wire.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Passes connections on to a server, and lets those that are open fall silent: nothing
 * passes any more, and neither side is told.
 * <p>
 * This class is thread-safe.
 */
final class SilentProxy implements AutoCloseable {

	private static final int BUFFER_BYTES = 8 * 1024;

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final int serverPort;

	private final List<Link> links = new CopyOnWriteArrayList<>();

	private volatile boolean startsSilent;

	/**
	 * Creates a proxy on a free port.
	 * @param serverPort the port of the server on this machine
	 * @throws IOException if no port is free
	 */
	SilentProxy(int serverPort) throws IOException {
		this.serverPort = serverPort;
		startThread(this::accept);
	}

	private static void startThread(Runnable task) {
		Thread thread = new Thread(task, "proxy");
		thread.setDaemon(true);
		thread.start();
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	int connectionCount() {
		return this.links.size();
	}

	/** Lets new connections be silent from their beginning, as those to a paused host. */
	void pauseNewConnections() {
		this.startsSilent = true;
	}

	/** Lets all open connections fall silent. */
	void silence() {
		this.links.forEach((link) -> link.isSilent = true);
	}

	/** Passes on what the silent connections have held back, and what comes after it. */
	void resume() {
		this.startsSilent = false;
		this.links.forEach(Link::resume);
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket client = this.listener.accept();
				Link link = new Link(client, new Socket(InetAddress.getLoopbackAddress(), this.serverPort));
				link.isSilent = this.startsSilent;
				this.links.add(link);
				startThread(() -> link.copy(link.client, link.server));
				startThread(() -> link.copy(link.server, link.client));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Link link : this.links) {
			link.client.close();
			link.server.close();
		}
	}

	/**
	 * One connection and its other half. This class is thread-safe.
	 */
	private static final class Link {

		private final Socket client;

		private final Socket server;

		private volatile boolean isSilent;

		Link(Socket client, Socket server) {
			this.client = client;
			this.server = server;
		}

		synchronized void resume() {
			this.isSilent = false;
			notifyAll();
		}

		private synchronized void awaitSound() throws InterruptedException {
			while (this.isSilent) {
				wait();
			}
		}

		// The end of a silent connection is not passed on either.
		void copy(Socket from, Socket to) {
			try {
				InputStream in = from.getInputStream();
				OutputStream out = to.getOutputStream();
				byte[] buffer = new byte[BUFFER_BYTES];
				for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
					awaitSound();
					out.write(buffer, 0, length);
				}
				awaitSound();
				to.close();
			}
			catch (IOException ex) {
				// One side has closed the connection.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
