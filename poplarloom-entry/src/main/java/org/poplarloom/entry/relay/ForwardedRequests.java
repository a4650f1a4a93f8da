package org.poplarloom.entry.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Executed;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.MemoryBudget;
import org.poplarloom.port.relay.CallerProtocol;
import org.poplarloom.port.relay.RelayRequest;
import org.poplarloom.wire.connection.PeerHandler;
import org.poplarloom.wire.connection.PeerReplies;
import org.poplarloom.wire.message.Message;

/**
 * Runs the requests of instances that cannot reach the endpoints.
 * <p>
 * A request ends with its connection. It is refused at once where this instance cannot
 * reach the endpoints either, or knows an older configuration than the sender, and it is
 * never forwarded again. This class is thread-safe; its state belongs to the event loop.
 */
public final class ForwardedRequests implements PeerHandler {

	private static final Logger logger = LoggerFactory.getLogger(ForwardedRequests.class);

	private static final long BUSY_RETRY_AFTER_MILLIS = 500;

	private static final long VERSION_CHECK_MILLIS = 20;

	private static final long MAX_VERSION_WAIT_MILLIS = 200;

	private final RelayService service;

	private final CallerProtocol protocol;

	private final Map<String, Forwarded> inProgress = new HashMap<>();

	private long count;

	/**
	 * Creates a handler.
	 * @param service runs the requests
	 * @param protocol decodes them
	 */
	public ForwardedRequests(RelayService service, CallerProtocol protocol) {
		this.service = service;
		this.protocol = protocol;
	}

	@Override
	public void handle(InstanceId peer, Message message, PeerReplies replies) {
		this.service.loop().execute(() -> {
			if (message instanceof Message.ForwardRequest request) {
				receive(peer, request, replies);
			}
			else if (message instanceof Message.ForwardCredit credit) {
				Forwarded forwarded = this.inProgress.get(credit.key());
				if (forwarded != null) {
					forwarded.reply.addCredit(credit.bytes());
				}
			}
			else if (message instanceof Message.ForwardCancel cancel) {
				cancel(cancel.key(), "the instance " + peer + " has cancelled it");
			}
		});
	}

	private void receive(InstanceId peer, Message.ForwardRequest request, PeerReplies replies) {
		MemoryBudget.Share memory = this.service.memory().openShare();
		PeerReply reply = new PeerReply(replies, () -> {
			this.inProgress.remove(request.key());
			memory.close();
		});
		this.inProgress.put(request.key(), new Forwarded(reply, memory));
		replies.accept(new Message.Acknowledgement(true));
		replies.whenDisconnected(() -> this.service.loop()
			.execute(() -> cancel(request.key(), "the connection to " + peer + " was lost")));
		startWhenCurrent(peer, request, 0);
	}

	// A version reaches all instances within some milliseconds.
	private void startWhenCurrent(InstanceId peer, Message.ForwardRequest request, long waitedMillis) {
		Forwarded forwarded = this.inProgress.get(request.key());
		boolean isBehind = this.service.routingVersion() < request.routingVersion();
		if (forwarded != null && isBehind && waitedMillis < MAX_VERSION_WAIT_MILLIS) {
			this.service.loop()
				.schedule(() -> startWhenCurrent(peer, request, waitedMillis + VERSION_CHECK_MILLIS),
						VERSION_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		}
		else if (forwarded != null) {
			start(peer, request, forwarded);
		}
	}

	private void start(InstanceId peer, Message.ForwardRequest request, Forwarded forwarded) {
		try {
			requireAble(request, forwarded.memory);
			RelayRequest decoded = decode(request);
			logger.info("request={} event=forwarded_here from={} key={}", decoded.id(), peer, request.key());
			this.count++;
			forwarded.run = this.service.startForwarded(decoded, forwarded.reply,
					new ForwardedOrigin(request.key(), request.maxAttempts(), request.excluded()));
			forwarded.reply.setRun(forwarded.run);
		}
		catch (PoplarloomException ex) {
			forwarded.reply.refuse(ex);
		}
		catch (IllegalArgumentException ex) {
			forwarded.reply.refuse(new PoplarloomException(ErrorCode.INVALID_REQUEST,
					"request of " + peer + " is not HTTP: " + ex.getMessage()));
		}
	}

	private void requireAble(Message.ForwardRequest request, MemoryBudget.Share memory) {
		if (this.service.link().isLost()) {
			throw new PoplarloomException(ErrorCode.NOT_READY, "the instance cannot reach the endpoints");
		}
		if (this.service.routingVersion() < request.routingVersion()) {
			throw new PoplarloomException(ErrorCode.NOT_READY, "version " + this.service.routingVersion()
					+ " is in force here, " + request.routingVersion() + " at the sender");
		}
		long bytes = request.body().value().length + ForwardedHeads.heldBytes(request.headers());
		if (!memory.tryResize(bytes)) {
			throw new PoplarloomException(ErrorCode.INSTANCE_BUSY, Executed.NO,
					"head and body of " + bytes + " bytes exceed the memory", BUSY_RETRY_AFTER_MILLIS);
		}
	}

	private RelayRequest decode(Message.ForwardRequest request) {
		HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()),
				request.target(), ForwardedHeads.headers(request.headers()));
		return this.protocol.read(head, request.body().value())
			.resumed(request.remainingMillis(), request.lastEventId());
	}

	private void cancel(String key, String reason) {
		Forwarded forwarded = this.inProgress.remove(key);
		if (forwarded != null) {
			forwarded.memory.close();
			if (forwarded.run != null) {
				forwarded.run.cancel(reason);
			}
		}
	}

	/**
	 * Returns how many requests are in progress.
	 * @return the number, 0 or more
	 */
	public int inProgress() {
		return this.inProgress.size();
	}

	/**
	 * Returns how many requests were run for other instances.
	 * @return the count since the start
	 */
	public long count() {
		return this.count;
	}

	/**
	 * A request in progress. It is not thread-safe; the event loop guards it.
	 */
	private static final class Forwarded {

		private final PeerReply reply;

		private final MemoryBudget.Share memory;

		private RelayRun run;

		Forwarded(PeerReply reply, MemoryBudget.Share memory) {
			this.reply = reply;
			this.memory = memory;
		}

	}

}
