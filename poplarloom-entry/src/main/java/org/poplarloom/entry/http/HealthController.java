package org.poplarloom.entry.http;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

import org.poplarloom.entry.process.Daemon;

/**
 * Reports to the load balancer whether this instance is alive and ready for callers.
 * <p>
 * This class is thread-safe.
 */
@Controller("/health")
final class HealthController {

	private final Daemon daemon;

	HealthController(Daemon daemon) {
		this.daemon = daemon;
	}

	@Get("/live")
	HttpResponse<String> live() {
		return HttpResponse.ok("{\"status\":\"live\"}").contentType(MediaType.APPLICATION_JSON_TYPE);
	}

	@Get("/ready")
	HttpResponse<String> ready() {
		String reason = this.daemon.notReadyReason();
		if (reason.isEmpty()) {
			return HttpResponse.ok("{\"status\":\"ready\"}").contentType(MediaType.APPLICATION_JSON_TYPE);
		}
		return HttpResponse.<String>serverError()
			.status(503)
			.body("{\"status\":\"not ready\",\"reason\":\"" + reason + "\"}")
			.contentType(MediaType.APPLICATION_JSON_TYPE);
	}

}
