package org.poplarloom.entry.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests of {@link NodeRuntime}.
 */
public class NodeRuntimeTests {

	private static final long MAX_TEST_MILLIS = 20_000;

	/**
	 * Guards against event loops that leave their sockets open when they are shut down
	 * while a task runs: callers connect and wait for ever.
	 */
	@Test(timeOut = MAX_TEST_MILLIS)
	public void aBusyEventLoopClosesItsChannelsWhenItIsShutDown() throws Exception {
		EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		Channel server = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInboundHandlerAdapter())
			.bind(InetAddress.getLoopbackAddress(), 0)
			.sync()
			.channel();
		InetSocketAddress address = (InetSocketAddress) server.localAddress();
		CountDownLatch started = new CountDownLatch(1);
		CountDownLatch mayEnd = new CountDownLatch(1);
		group.execute(() -> {
			started.countDown();
			awaitUninterruptibly(mayEnd);
		});
		started.await();
		try (Socket accepted = new Socket()) {
			accepted.connect(address);
			NodeRuntime.shutDown(group);
			mayEnd.countDown();
			group.terminationFuture().sync();
			Assert.assertTrue(isEnded(accepted), "an accepted connection is open");
		}
		Assert.assertFalse(isListening(address), "the port is open");
	}

	private static boolean isEnded(Socket socket) {
		try {
			return socket.getInputStream().read() < 0;
		}
		catch (IOException ex) {
			// The connection was reset.
			return true;
		}
	}

	private static boolean isListening(InetSocketAddress address) {
		try (Socket socket = new Socket()) {
			socket.connect(address);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
