package org.poplarloom.entry.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;

import org.poplarloom.port.http.ExchangeListener;
import org.poplarloom.port.http.HttpExchanger;
import org.poplarloom.port.relay.EndpointProtocol;

/**
 * A short request to an endpoint, of whose response only the status matters.
 * <p>
 * The result is reported exactly once, at the timeout at the latest. This class is not
 * thread-safe; the event loop guards it.
 */
final class EndpointCommand implements ExchangeListener {

	private static final long TIMEOUT_MILLIS = 500;

	private final EndpointProtocol protocol;

	private final Consumer<Result> onResult;

	private ScheduledFuture<?> timeout;

	private HttpResponseStatus status;

	private boolean finished;

	private EndpointCommand(EndpointProtocol protocol, Consumer<Result> onResult) {
		this.protocol = protocol;
		this.onResult = onResult;
	}

	/**
	 * Sends a command.
	 * @param service the relay
	 * @param address the host and port of the endpoint
	 * @param request the command
	 * @param onResult receives the result
	 */
	static void send(RelayService service, String address, FullHttpRequest request, Consumer<Result> onResult) {
		EndpointCommand command = new EndpointCommand(service.protocol(), onResult);
		command.startTimeout(service, service.exchanger().send(address, request, command));
	}

	/**
	 * Checks on a new connection whether an endpoint runs.
	 * @param service the relay
	 * @param address the host and port of the endpoint
	 * @param onResult receives the result
	 */
	static void checkRunning(RelayService service, String address, Consumer<Result> onResult) {
		EndpointCommand command = new EndpointCommand(service.protocol(), onResult);
		FullHttpRequest request = service.protocol().writeStatusRequest(address);
		command.startTimeout(service, service.exchanger().sendOnNewConnection(address, request, command));
	}

	private void startTimeout(RelayService service, HttpExchanger.Exchange exchange) {
		this.timeout = service.loop().schedule(() -> {
			exchange.cancel();
			finish(new Result(null, "no answer within " + TIMEOUT_MILLIS + " ms"));
		}, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public boolean head(HttpResponse head, int exchangeNumber) {
		if (!this.protocol.isCommandReply(head)) {
			return false;
		}
		this.status = head.status();
		return true;
	}

	@Override
	public void content(ByteBuf content) {
		// Only the status is used.
	}

	@Override
	public void end() {
		finish(new Result(this.status, this.status.toString()));
	}

	@Override
	public void fail(HttpExchanger.ExchangeException failure) {
		finish(new Result(null, failure.getMessage()));
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
	 */
	record Result(HttpResponseStatus status, String detail) {

		boolean isOk() {
			return HttpResponseStatus.OK.equals(this.status);
		}

		boolean isAnswered() {
			return this.status != null;
		}

	}

}
