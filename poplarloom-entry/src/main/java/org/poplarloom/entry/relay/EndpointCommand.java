package org.poplarloom.entry.relay;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;

import org.poplarloom.port.http.ExchangeListener;
import org.poplarloom.port.http.HttpExchanger;
import org.poplarloom.port.relay.EndpointNotice;
import org.poplarloom.port.relay.EndpointProtocol;

/**
 * A short request to an endpoint, of whose response only the status matters.
 * <p>
 * The result is reported exactly once, at the timeout at the latest. This class is not
 * thread-safe; the event loop guards it.
 */
final class EndpointCommand implements ExchangeListener {

	private static final long TIMEOUT_MILLIS = 500;

	/** The boot ID of an endpoint whose entry does not name its start. */
	private static final String UNKNOWN_BOOT_ID = "0";

	/** A status has some hundred bytes; of a longer one only the beginning is kept. */
	private static final int MAX_REPLY_BYTES = 64 * 1024;

	private final EndpointProtocol protocol;

	private final Consumer<EndpointNotice> onNotice;

	private final Consumer<Result> onResult;

	private final ByteArrayOutputStream reply = new ByteArrayOutputStream();

	private ScheduledFuture<?> timeout;

	private HttpResponseStatus status;

	private boolean finished;

	private EndpointCommand(EndpointProtocol protocol, Consumer<EndpointNotice> onNotice, Consumer<Result> onResult) {
		this.protocol = protocol;
		this.onNotice = onNotice;
		this.onResult = onResult;
	}

	/**
	 * Sends a command.
	 * @param service the relay
	 * @param endpoint the endpoint
	 * @param endpoints the endpoints of the attempt
	 * @param request the command
	 * @param onResult receives the result
	 */
	static void send(RelayService service, AttemptEndpoints.AssignedEndpoint endpoint, AttemptEndpoints endpoints,
			FullHttpRequest request, Consumer<Result> onResult) {
		EndpointCommand command = create(service, endpoint, endpoints, onResult);
		command.startTimeout(service, service.exchanger().send(endpoint.address(), request, command));
	}

	/**
	 * Sends a command on a new connection, for a result that something is decided by:
	 * replies name no request, so one to an earlier command could be taken for it.
	 * @param service the relay
	 * @param endpoint the endpoint
	 * @param endpoints the endpoints of the attempt
	 * @param request the command
	 * @param onResult receives the result
	 */
	static void sendOnNewConnection(RelayService service, AttemptEndpoints.AssignedEndpoint endpoint,
			AttemptEndpoints endpoints, FullHttpRequest request, Consumer<Result> onResult) {
		EndpointCommand command = create(service, endpoint, endpoints, onResult);
		command.startTimeout(service, service.exchanger().sendOnNewConnection(endpoint.address(), request, command));
	}

	private static EndpointCommand create(RelayService service, AttemptEndpoints.AssignedEndpoint endpoint,
			AttemptEndpoints endpoints, Consumer<Result> onResult) {
		return new EndpointCommand(service.protocol(), (notice) -> service.recordNotice(notice, endpoint, endpoints),
				onResult);
	}

	/**
	 * Checks on a new connection whether an endpoint still runs in the lifetime in which
	 * it was granted.
	 * @param service the relay
	 * @param endpoints the endpoints of the attempt, of which the answering one is
	 * checked
	 * @param onResult receives the result
	 */
	static void checkRunning(RelayService service, AttemptEndpoints endpoints, Consumer<Result> onResult) {
		AttemptEndpoints.AssignedEndpoint endpoint = endpoints.answering();
		sendOnNewConnection(service, endpoint, endpoints, service.protocol().writeStatusRequest(endpoint.address()),
				(result) -> onResult.accept(result.inLifetime(endpoint.bootId())));
	}

	/**
	 * Finds out on a new connection whether an endpoint answers.
	 * @param service the relay
	 * @param address the endpoint's host and port
	 * @param onResult receives whether it has answered before the timeout
	 */
	static void askForStatus(RelayService service, String address, Consumer<Boolean> onResult) {
		EndpointCommand command = new EndpointCommand(service.protocol(), (notice) -> {
		}, (result) -> onResult.accept(result.isAnswered()));
		command.startTimeout(service, service.exchanger()
			.sendOnNewConnection(address, service.protocol().writeStatusRequest(address), command));
	}

	private void startTimeout(RelayService service, HttpExchanger.Exchange exchange) {
		this.timeout = service.loop().schedule(() -> {
			exchange.cancel();
			finish(Result.failed("no answer within " + TIMEOUT_MILLIS + " ms"));
		}, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public boolean head(HttpResponse head, int exchangeNumber) {
		if (!this.protocol.isCommandReply(head)) {
			return false;
		}
		this.onNotice.accept(this.protocol.notice(head));
		this.status = head.status();
		return true;
	}

	@Override
	public void content(ByteBuf content) {
		byte[] bytes = new byte[Math.min(content.readableBytes(), MAX_REPLY_BYTES - this.reply.size())];
		content.readBytes(bytes);
		this.reply.writeBytes(bytes);
	}

	@Override
	public void end() {
		finish(new Result(this.status, this.status.toString(), this.protocol.bootId(this.reply.toByteArray())));
	}

	@Override
	public void fail(HttpExchanger.ExchangeException failure) {
		finish(Result.failed(failure.getMessage()));
	}

	private void finish(Result result) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		if (this.timeout != null) {
			this.timeout.cancel(false);
		}
		this.onResult.accept(result);
	}

	/**
	 * What became of a command.
	 *
	 * @param status the status of the response, or null if there was no complete response
	 * @param detail the status or the reason why there is none, for the log
	 * @param bootId the boot ID of the process that responded, empty if it names none
	 */
	record Result(HttpResponseStatus status, String detail, String bootId) {

		static Result failed(String detail) {
			return new Result(null, detail, "");
		}

		Result inLifetime(String expected) {
			boolean isKnown = !this.bootId.isEmpty() && !expected.equals(UNKNOWN_BOOT_ID);
			boolean isOther = isKnown && !this.bootId.equals(expected);
			return isOther ? failed("process " + this.bootId + " runs instead of " + expected) : this;
		}

		boolean isOk() {
			return HttpResponseStatus.OK.equals(this.status);
		}

		boolean isAnswered() {
			return this.status != null;
		}

	}

}
