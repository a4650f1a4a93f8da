package org.poplarloom.wire.process;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.InstanceId;
import org.poplarloom.wire.connection.PeerKey;
import org.poplarloom.wire.connection.PeerReplies;
import org.poplarloom.wire.connection.ReplyListener;
import org.poplarloom.wire.message.Message;

/**
 * Tests of {@link PeerNetwork} with connections that fall silent while both instances
 * run.
 */
public class SilentPeerTests {

	private static final PeerKey KEY = PeerKey.of("0123456789abcdef");

	private static final long CHECK_PERIOD_MILLIS = 100;

	/** Requests between instances must work again this long after the silence began. */
	private static final long RECOVERY_MILLIS = 2_000;

	/** For connections that carry only messages without replies. */
	private static final long ONE_WAY_RECOVERY_MILLIS = 4_000;

	private static final long REQUEST_TIMEOUT_MILLIS = 150;

	private static final long LONG_TIMEOUT_MILLIS = 10_000;

	private static final Message QUESTION = new Message.ForwardCancel("question");

	private static final Message SLOW_QUESTION = new Message.ForwardCancel("slow");

	private static final Message ANSWER = new Message.Acknowledgement(true);

	private final List<Message> received = new CopyOnWriteArrayList<>();

	private final List<PeerReplies> slowReplies = new CopyOnWriteArrayList<>();

	private EventLoopGroup group;

	private PeerNetwork server;

	private PeerNetwork client;

	private SilentProxy proxy;

	@BeforeMethod
	public void start() throws Exception {
		this.received.clear();
		this.slowReplies.clear();
		this.group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
		this.server = network("server");
		this.client = network("client");
		this.proxy = new SilentProxy(this.server.listen("127.0.0.1", 0));
		this.group.next()
			.scheduleWithFixedDelay(this.client::replaceSilentConnections, CHECK_PERIOD_MILLIS, CHECK_PERIOD_MILLIS,
					TimeUnit.MILLISECONDS);
		Assert.assertEquals(ask(QUESTION, LONG_TIMEOUT_MILLIS).get(), ANSWER);
	}

	private PeerNetwork network(String id) {
		return new PeerNetwork(InstanceId.of(id), KEY, (peer, message, replies) -> {
			this.received.add(message);
			if (message.equals(SLOW_QUESTION)) {
				this.slowReplies.add(replies);
			}
			else {
				replies.accept(ANSWER);
			}
		}, this.group, new BoundedConnections(10), 5_000);
	}

	@AfterMethod(alwaysRun = true)
	public void stop() throws Exception {
		this.client.close();
		this.server.close();
		this.proxy.close();
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private CompletableFuture<Message> ask(Message question, long timeoutMillis) {
		return this.client.request(this.proxy.address(), question, timeoutMillis);
	}

	private boolean isAnswered() {
		try {
			return ask(QUESTION, REQUEST_TIMEOUT_MILLIS).join().equals(ANSWER);
		}
		catch (CompletionException ex) {
			return false;
		}
	}

	private static void pause(long millis) throws InterruptedException {
		Thread.sleep(millis);
	}

	/**
	 * Guards against requests that time out one after the other on a connection that has
	 * fallen silent for good.
	 */
	@Test
	public void requestsAreAnsweredAgainOnANewConnection() throws Exception {
		this.proxy.silence();
		long end = System.currentTimeMillis() + RECOVERY_MILLIS;
		while (!isAnswered()) {
			Assert.assertTrue(System.currentTimeMillis() < end, "no request was answered");
		}
		for (int i = 0; i < 20; i++) {
			Assert.assertTrue(isAnswered(), "request " + i);
		}
		Assert.assertEquals(this.proxy.connectionCount(), 2);
	}

	/**
	 * Guards against requests and streams that wait until their timeout for what a silent
	 * connection cannot bring.
	 */
	@Test
	public void whatIsAwaitedOnASilentConnectionFailsSoon() throws Exception {
		CompletableFuture<Boolean> disconnected = new CompletableFuture<>();
		this.client.open(this.proxy.address(), SLOW_QUESTION, new ReplyListener() {

			@Override
			public void receive(Message reply) {
				disconnected.completeExceptionally(new AssertionError("unexpected reply " + reply));
			}

			@Override
			public void disconnected(boolean isSent, Throwable cause) {
				disconnected.complete(isSent);
			}

		});
		CompletableFuture<Message> awaited = ask(SLOW_QUESTION, LONG_TIMEOUT_MILLIS);
		pause(CHECK_PERIOD_MILLIS);
		this.proxy.silence();
		Assert.assertThrows(ExecutionException.class, () -> awaited.get(RECOVERY_MILLIS, TimeUnit.MILLISECONDS));
		Assert.assertTrue(disconnected.get(RECOVERY_MILLIS, TimeUnit.MILLISECONDS), "the peer may have received it");
	}

	/** Guards against heartbeats that vanish on a connection that carries only them. */
	@Test
	public void messagesWithoutRepliesArriveAgain() throws Exception {
		this.proxy.silence();
		Message notice = new Message.ForwardCancel("notice");
		long end = System.currentTimeMillis() + ONE_WAY_RECOVERY_MILLIS;
		while (!this.received.contains(notice)) {
			Assert.assertTrue(System.currentTimeMillis() < end, "no message has arrived");
			this.client.send(this.proxy.address(), notice);
			pause(CHECK_PERIOD_MILLIS);
		}
	}

	/** Guards against the loss of what a peer still sends after a pause of a second. */
	@Test
	public void aPeerThatIsPausedKeepsItsRequests() throws Exception {
		CompletableFuture<Message> awaited = ask(SLOW_QUESTION, LONG_TIMEOUT_MILLIS);
		await(() -> this.slowReplies.size() == 1);
		this.proxy.pauseNewConnections();
		this.proxy.silence();
		pause(1_200);
		this.slowReplies.get(0).accept(ANSWER);
		this.proxy.resume();
		Assert.assertEquals(awaited.get(RECOVERY_MILLIS, TimeUnit.MILLISECONDS), ANSWER);
	}

	/** Guards against connections that are replaced since a reply takes long. */
	@Test
	public void aSlowReplyIsNoSilence() throws Exception {
		CompletableFuture<Message> awaited = ask(SLOW_QUESTION, LONG_TIMEOUT_MILLIS);
		Assert.assertThrows(TimeoutException.class, () -> awaited.get(2_500, TimeUnit.MILLISECONDS));
		this.slowReplies.get(0).accept(ANSWER);
		Assert.assertEquals(awaited.get(RECOVERY_MILLIS, TimeUnit.MILLISECONDS), ANSWER);
		Assert.assertEquals(this.proxy.connectionCount(), 1);
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long end = System.currentTimeMillis() + LONG_TIMEOUT_MILLIS;
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.currentTimeMillis() < end, "condition did not become true");
			pause(10);
		}
	}

}
