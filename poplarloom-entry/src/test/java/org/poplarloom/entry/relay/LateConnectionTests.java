package org.poplarloom.entry.relay;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.testng.Assert;
import org.testng.annotations.Test;

import org.poplarloom.platform.standin.WorkerStandIn;
import org.poplarloom.port.http.ExchangeListener;
import org.poplarloom.port.http.HttpExchanger;

/**
 * Tests of requests that must be sent soon. One that is sent on a connection that opened
 * too late adds to the rate of a cold endpoint at a time that its home has not allowed
 * for.
 */
public class LateConnectionTests {

	private static final long TIMEOUT_SECONDS = 10;

	/** The time to send the request is over before the connection opens. */
	private static final long ALREADY_OVER_MILLIS = -1;

	@Test
	public void requestIsNotSentOnAConnectionThatOpensTooLate() throws Exception {
		Assert.assertEquals(outcome(ALREADY_OVER_MILLIS), "not sent, received 0");
	}

	@Test
	public void requestIsSentOnAConnectionThatOpensInTime() throws Exception {
		Assert.assertEquals(outcome(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS)), "answered, received 1");
	}

	private static String outcome(long maxDelayMillis) throws Exception {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		try (WorkerStandIn worker = new WorkerStandIn("i-1")) {
			EventLoop loop = group.next();
			CompletableFuture<String> outcome = new CompletableFuture<>();
			loop.execute(() -> new HttpExchanger(loop).send(worker.address(),
					new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/again/x"), maxDelayMillis,
					new OutcomeListener(outcome)));
			return outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS) + ", received " + worker.received().size();
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

	/**
	 * Keeps how an exchange ended.
	 */
	private record OutcomeListener(CompletableFuture<String> outcome) implements ExchangeListener {

		@Override
		public boolean head(HttpResponse response, int exchangeNumber) {
			return true;
		}

		@Override
		public void content(ByteBuf content) {
		}

		@Override
		public void end() {
			this.outcome.complete("answered");
		}

		@Override
		public void fail(HttpExchanger.ExchangeException failure) {
			this.outcome.complete(failure.isSent() ? "broken" : "not sent");
		}

	}

}
