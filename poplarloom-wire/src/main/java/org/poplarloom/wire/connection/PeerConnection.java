package org.poplarloom.wire.connection;

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
 * No message reaches the handler before both sides have proved that they hold the key,
 * and a frame that cannot be read closes the connection. Every pending request ends when
 * the connection ends. This class is thread-safe.
 */
public final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {

	private static final Logger logger = LoggerFactory.getLogger(PeerConnection.class);

	private static final String CLIENT_PURPOSE = "client";

	private static final String SERVER_PURPOSE = "server";

	private final InstanceId self;

	private final PeerKey key;

	private final PeerHandler handler;

	private final PeerTraffic traffic;

	private final boolean isServer;

	private final String nonce = PeerKey.nonce();

	private final AtomicLong correlations = new AtomicLong();

	private final Map<Long, CompletableFuture<Message>> pending = new ConcurrentHashMap<>();

	private final CompletableFuture<PeerConnection> opened = new CompletableFuture<>();

	private volatile ChannelHandlerContext context;

	private volatile InstanceId peer;

	public PeerConnection(InstanceId self, PeerKey key, PeerHandler handler, PeerTraffic traffic, boolean isServer) {
		this.self = self;
		this.key = key;
		this.handler = handler;
		this.traffic = traffic;
		this.isServer = isServer;
	}

	/**
	 * Returns the connection once both sides are authenticated.
	 * @return a future that fails if the handshake fails
	 */
	public CompletableFuture<PeerConnection> opened() {
		return this.opened;
	}

	/**
	 * Says whether messages can be sent.
	 * @return true between the handshake and the end of the connection
	 */
	public boolean isOpen() {
		ChannelHandlerContext current = this.context;
		return this.peer != null && current != null && current.channel().isActive();
	}

	/**
	 * Sends a message that needs no reply; it is dropped if the peer does not keep up.
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
	 * @param timeoutMillis when to give up, in milliseconds
	 * @return a future that fails if the connection ends, the time is over or the peer
	 * does not keep up
	 */
	public CompletableFuture<Message> request(Message message, long timeoutMillis) {
		CompletableFuture<Message> reply = new CompletableFuture<>();
		if (!isOpen() || !this.context.channel().isWritable()) {
			reply.completeExceptionally(new PoplarloomException(ErrorCode.PEER_TIMEOUT, "peer cannot be reached"));
			return reply;
		}
		long correlation = this.correlations.incrementAndGet();
		this.pending.put(correlation, reply);
		reply.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
		reply.whenComplete((done, failure) -> this.pending.remove(correlation));
		write(new Envelope(correlation, false, message));
		return reply;
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
		this.traffic.countSent(content.length);
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
		Envelope envelope = MessageCodec.read(content);
		if (this.peer == null) {
			handshake(envelope.message());
		}
		else if (envelope.isReply()) {
			CompletableFuture<Message> reply = this.pending.remove(envelope.correlation());
			if (reply != null) {
				reply.complete(envelope.message());
			}
		}
		else {
			this.handler.handle(this.peer, envelope.message(), (reply) -> reply(envelope.correlation(), reply));
		}
	}

	private void reply(long correlation, Message message) {
		if (correlation != 0 && isOpen()) {
			write(new Envelope(correlation, true, message));
		}
	}

	private void handshake(Message message) {
		if (!this.isServer && message instanceof Message.Challenge challenge) {
			String proof = this.key.proof(CLIENT_PURPOSE, challenge.nonce());
			write(new Envelope(0, false, new Message.Hello(this.self, proof, this.nonce)));
			return;
		}
		if (this.isServer && message instanceof Message.Hello hello
				&& this.key.isProof(CLIENT_PURPOSE, this.nonce, hello.proof())) {
			String proof = this.key.proof(SERVER_PURPOSE, hello.nonce());
			write(new Envelope(0, false, new Message.Welcome(this.self, proof)));
			open(hello.instance());
			return;
		}
		if (!this.isServer && message instanceof Message.Welcome welcome
				&& this.key.isProof(SERVER_PURPOSE, this.nonce, welcome.proof())) {
			open(welcome.instance());
			return;
		}
		throw new PoplarloomException(ErrorCode.UNAUTHORIZED, "peer did not prove that it holds the key");
	}

	private void open(InstanceId authenticated) {
		this.peer = authenticated;
		this.opened.complete(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		PoplarloomException failure = new PoplarloomException(ErrorCode.PEER_TIMEOUT, "connection to peer ended");
		this.opened.completeExceptionally(failure);
		this.pending.values().forEach((reply) -> reply.completeExceptionally(failure));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (cause instanceof PoplarloomException ex) {
			logger.warn("closing connection to {}: {}: {}", this.peer, ex.code().text(), ex.getMessage());
		}
		else {
			logger.debug("closing connection to {}: {}", this.peer, cause.toString());
		}
		this.opened.completeExceptionally(cause);
		ctx.close();
	}

}
