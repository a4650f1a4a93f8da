package org.poplarloom.wire.connection;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.wire.message.Message;
import org.poplarloom.wire.message.MessageCodec;
import org.poplarloom.wire.message.MessageCodec.Envelope;

/**
 * One authenticated connection between two instances.
 * <p>
 * No message reaches the handler before the peer has proved that it knows the shared key.
 * A frame that cannot be decoded closes the connection, and a closed connection fails all
 * its pending requests. This class is thread-safe.
 */
public final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {

	private static final Logger logger = LoggerFactory.getLogger(PeerConnection.class);

	private static final String CLIENT_PURPOSE = "client";

	private static final String SERVER_PURPOSE = "server";

	/** A peer replies to most messages within a few milliseconds. */
	private static final long REPLY_SILENCE_MILLIS = 400;

	/** Messages without a reply say nothing about the connection that carries them. */
	private static final long SILENCE_MILLIS = 2_000;

	/** A peer answers a ping at once, unless it is paused. */
	private static final long PING_TIMEOUT_MILLIS = 400;

	/** Instances of all versions answer it. */
	private static final Message PING = new Message.VersionQuery("");

	private final InstanceId self;

	private final PeerKey key;

	private final PeerHandler handler;

	private final PeerTraffic traffic;

	private final boolean isServer;

	private final String nonce = PeerKey.newNonce();

	private final AtomicLong lastCorrelationId = new AtomicLong();

	private final Map<Long, CompletableFuture<Message>> pending = new ConcurrentHashMap<>();

	private final Map<Long, ReplyListener> streams = new ConcurrentHashMap<>();

	private final CompletableFuture<PeerConnection> authenticated = new CompletableFuture<>();

	private volatile ChannelHandlerContext context;

	private volatile InstanceId peer;

	/** What the peer has still to show that it receives. */
	private final Silence silence = new Silence();

	public PeerConnection(InstanceId self, PeerKey key, PeerHandler handler, PeerTraffic traffic, boolean isServer) {
		this.self = self;
		this.key = key;
		this.handler = handler;
		this.traffic = traffic;
		this.isServer = isServer;
	}

	/**
	 * Returns a future that completes with this connection when the peer is
	 * authenticated.
	 * @return the future; it fails if connecting or the handshake fails
	 */
	public CompletableFuture<PeerConnection> authenticated() {
		return this.authenticated;
	}

	/**
	 * Returns whether the peer is authenticated and the connection is open.
	 * @return true from the end of the handshake until the connection is closed
	 */
	public boolean isOpen() {
		ChannelHandlerContext current = this.context;
		return this.peer != null && current != null && current.channel().isActive();
	}

	/**
	 * Sends a ping if the peer has sent nothing for too long after a message.
	 */
	public void pingIfSilent() {
		if (isOpen() && this.silence.isPingDue()) {
			request(PING, PING_TIMEOUT_MILLIS).exceptionally((failure) -> null);
		}
	}

	/**
	 * Returns whether the peer has answered neither a ping nor what was sent before it.
	 * @return true from some hundred milliseconds after the ping until the peer sends
	 * something
	 */
	public boolean isSilent() {
		return isOpen() && this.silence.isPingOverdue();
	}

	/**
	 * Returns whether the peer owes replies.
	 * @return false if nothing is lost with the connection
	 */
	public boolean isAwaited() {
		return !this.pending.isEmpty() || !this.streams.isEmpty();
	}

	/**
	 * Sends a message that needs no reply; it is dropped if the connection is not open or
	 * the peer does not keep up.
	 * @param message the message
	 */
	public void send(Message message) {
		if (isOpen() && this.context.channel().isWritable()) {
			write(new Envelope(0, false, message));
		}
		else {
			this.traffic.countDropped();
		}
	}

	/**
	 * Sends a message and returns its reply.
	 * @param message the message
	 * @param timeoutMillis the timeout in milliseconds
	 * @return a future that fails if the connection is closed, the peer does not reply in
	 * time or does not keep up with what is sent
	 */
	public CompletableFuture<Message> request(Message message, long timeoutMillis) {
		CompletableFuture<Message> reply = new CompletableFuture<>();
		if (!isOpen() || !this.context.channel().isWritable()) {
			reply.completeExceptionally(notWritable());
			return reply;
		}
		long correlationId = this.lastCorrelationId.incrementAndGet();
		this.pending.put(correlationId, reply);
		reply.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
		reply.whenComplete((received, failure) -> this.pending.remove(correlationId));
		write(new Envelope(correlationId, false, message));
		return reply;
	}

	/**
	 * Sends a message that has several replies.
	 * @param message the message
	 * @param listener receives the replies; it is called at once if the message cannot be
	 * sent
	 * @return ends the interest in replies
	 */
	public Runnable open(Message message, ReplyListener listener) {
		if (!isOpen() || !this.context.channel().isWritable()) {
			listener.disconnected(false, notWritable());
			return () -> {
			};
		}
		long correlationId = this.lastCorrelationId.incrementAndGet();
		this.streams.put(correlationId, listener);
		write(new Envelope(correlationId, false, message));
		return () -> this.streams.remove(correlationId);
	}

	private static PoplarloomException notWritable() {
		return new PoplarloomException(ErrorCode.PEER_TIMEOUT,
				"connection to peer is not open or its write buffer is full");
	}

	/**
	 * Closes the connection.
	 */
	public void close() {
		ChannelHandlerContext current = this.context;
		if (current != null) {
			current.close();
		}
	}

	private void write(Envelope envelope) {
		byte[] content = MessageCodec.write(envelope);
		this.traffic.countSent(envelope.message().getClass(), content.length);
		this.silence.recordSent(envelope.correlationId() != 0 && !envelope.isReply());
		this.context.writeAndFlush(Unpooled.wrappedBuffer(content));
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.context = ctx;
		if (this.isServer) {
			write(new Envelope(0, false, new Message.Challenge(this.nonce)));
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
		byte[] content = new byte[frame.readableBytes()];
		frame.readBytes(content);
		this.traffic.countReceived(content.length);
		this.silence.end();
		Envelope envelope = MessageCodec.read(content);
		if (this.peer == null) {
			handleHandshake(envelope.message());
		}
		else if (envelope.isReply()) {
			receiveReply(envelope);
		}
		else {
			this.handler.handle(this.peer, envelope.message(), new Replies(envelope.correlationId()));
		}
	}

	private void receiveReply(Envelope envelope) {
		ReplyListener listener = this.streams.get(envelope.correlationId());
		if (listener != null) {
			listener.receive(envelope.message());
			return;
		}
		CompletableFuture<Message> reply = this.pending.remove(envelope.correlationId());
		if (reply != null) {
			reply.complete(envelope.message());
		}
	}

	private void reply(long correlationId, Message message) {
		if (correlationId != 0 && isOpen()) {
			write(new Envelope(correlationId, true, message));
		}
	}

	private void handleHandshake(Message message) {
		if (!this.isServer && message instanceof Message.Challenge challenge) {
			String proof = this.key.computeProof(CLIENT_PURPOSE, challenge.nonce());
			write(new Envelope(0, false, new Message.Hello(this.self, proof, this.nonce)));
			return;
		}
		if (this.isServer && message instanceof Message.Hello hello
				&& this.key.isValidProof(CLIENT_PURPOSE, this.nonce, hello.proof())) {
			String proof = this.key.computeProof(SERVER_PURPOSE, hello.nonce());
			write(new Envelope(0, false, new Message.Welcome(this.self, proof)));
			completeHandshake(hello.instance());
			return;
		}
		if (!this.isServer && message instanceof Message.Welcome welcome
				&& this.key.isValidProof(SERVER_PURPOSE, this.nonce, welcome.proof())) {
			completeHandshake(welcome.instance());
			return;
		}
		throw new PoplarloomException(ErrorCode.UNAUTHORIZED,
				"peer did not prove that it knows the peer key; received " + message.getClass().getSimpleName());
	}

	private void completeHandshake(InstanceId authenticatedPeer) {
		this.context.pipeline().replace(PeerFrames.NAME, PeerFrames.NAME, PeerFrames.ofAuthenticatedPeer());
		this.peer = authenticatedPeer;
		this.authenticated.complete(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		PoplarloomException failure = new PoplarloomException(ErrorCode.PEER_TIMEOUT, "connection to peer was closed");
		this.authenticated.completeExceptionally(failure);
		this.pending.values().forEach((reply) -> reply.completeExceptionally(failure));
		List<ReplyListener> listeners = List.copyOf(this.streams.values());
		this.streams.clear();
		listeners.forEach((listener) -> listener.disconnected(true, failure));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (cause instanceof PoplarloomException ex) {
			logger.warn("closing connection to {}: {}: {}", this.peer, ex.code().text(), ex.getMessage());
		}
		else {
			logger.debug("closing connection to {}: {}", this.peer, cause.toString());
		}
		this.authenticated.completeExceptionally(cause);
		ctx.close();
	}

	/**
	 * Sends the replies to one message of the peer. This class is thread-safe.
	 */
	private final class Replies implements PeerReplies {

		private final long correlationId;

		Replies(long correlationId) {
			this.correlationId = correlationId;
		}

		@Override
		public void accept(Message reply) {
			PeerConnection.this.reply(this.correlationId, reply);
		}

		@Override
		public void whenDisconnected(Runnable task) {
			PeerConnection.this.context.channel().closeFuture().addListener((closed) -> task.run());
		}

	}

	/**
	 * The time since the first message after which the peer has sent nothing. This class
	 * is thread-safe; its own lock guards it.
	 */
	private static final class Silence {

		private static final long NONE = Long.MAX_VALUE;

		/** When the first message of all was sent, by the system's nanosecond clock. */
		private long sentNanos = NONE;

		/** When the first message that needs a reply was sent. */
		private long questionNanos = NONE;

		private long pingNanos = NONE;

		synchronized void recordSent(boolean needsReply) {
			long now = System.nanoTime();
			this.sentNanos = (this.sentNanos == NONE) ? now : this.sentNanos;
			this.questionNanos = (needsReply && this.questionNanos == NONE) ? now : this.questionNanos;
		}

		synchronized void end() {
			this.sentNanos = NONE;
			this.questionNanos = NONE;
			this.pingNanos = NONE;
		}

		// Once in each silence.
		synchronized boolean isPingDue() {
			boolean isDue = this.pingNanos == NONE && (hasPassed(this.questionNanos, REPLY_SILENCE_MILLIS)
					|| hasPassed(this.sentNanos, SILENCE_MILLIS));
			if (isDue) {
				this.pingNanos = System.nanoTime();
			}
			return isDue;
		}

		synchronized boolean isPingOverdue() {
			return hasPassed(this.pingNanos, PING_TIMEOUT_MILLIS);
		}

		private static boolean hasPassed(long sinceNanos, long millis) {
			return sinceNanos != NONE && System.nanoTime() - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
		}

	}

}
