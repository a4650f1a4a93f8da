package org.poplarloom.entry.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import io.micronaut.core.annotation.Nullable;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Header;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.Put;
import io.micronaut.http.annotation.QueryValue;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.Findings;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.version.Change;
import org.poplarloom.core.version.Contract;
import org.poplarloom.core.version.ContractReader;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.Publication;
import org.poplarloom.core.version.Subject;
import org.poplarloom.entry.process.ClusterStatus;
import org.poplarloom.entry.process.Node;
import org.poplarloom.entry.process.UsagePublisher;
import org.poplarloom.entry.version.ConfigurationPublisher;
import org.poplarloom.port.InstanceListPort.ListedInstance;
import org.poplarloom.port.LogPort;

/**
 * The interface for operators.
 * <p>
 * The response to a change is sent only after the change was accepted or refused. This
 * class is thread-safe.
 */
@Controller("/operator/v1")
final class OperatorController {

	private final Node node;

	private final ConfigurationPublisher publisher;

	private final CallerAuthentication authentication;

	private final ClusterStatus status;

	OperatorController(Node node, ConfigurationPublisher publisher, CallerAuthentication authentication) {
		this.node = node;
		this.publisher = publisher;
		this.authentication = authentication;
		this.status = new ClusterStatus(node);
	}

	@Put("/contracts/{team}")
	@Consumes(MediaType.ALL)
	Mono<MutableHttpResponse<String>> putContract(HttpRequest<?> http, String team, @QueryValue @Nullable Long expected,
			@Header("X-Publish-Id") @Nullable String publishId, @Body String document) {
		this.authentication.requireOperator(http);
		Findings findings = new Findings();
		Contract contract = ContractReader.read("contract", document, findings);
		findings.throwIfAny();
		if (!contract.team().equals(TeamId.of(team))) {
			throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT,
					"the document is the contract of team '" + contract.team() + "', not of team '" + team + "'");
		}
		return publish(new Change.PutContract(contract), expected, publishId);
	}

	private Mono<MutableHttpResponse<String>> publish(Change change, Long expected, String publishId) {
		String id = (publishId != null) ? publishId : UUID.randomUUID().toString();
		long expectedOffset = (expected != null) ? expected : Publication.ANY_OFFSET;
		return this.publisher.publish(new Publication(id, expectedOffset, "operator", change))
			.map((offset) -> json(new Accepted(id, offset, true)));
	}

	@Get("/contracts")
	HttpResponse<String> contracts(HttpRequest<?> http) {
		this.authentication.requireOperator(http);
		List<VersionedContract> contracts = new ArrayList<>();
		this.node.activeConfiguration()
			.configuration()
			.contracts()
			.forEach((contract) -> contracts.add(versioned(contract)));
		contracts.sort((first, second) -> first.contract().team().compareTo(second.contract().team()));
		return json(contracts);
	}

	@Get("/contracts/{team}")
	HttpResponse<String> contract(HttpRequest<?> http, String team) {
		this.authentication.requireOperator(http);
		return this.node.activeConfiguration()
			.configuration()
			.contract(TeamId.of(team))
			.map((contract) -> json(versioned(contract)))
			.orElseThrow(() -> new PoplarloomException(ErrorCode.NOT_FOUND, "team '" + team + "' has no contract"));
	}

	private VersionedContract versioned(Contract contract) {
		return new VersionedContract(
				this.node.activeConfiguration().configuration().offsetOf(Subject.of(contract.team())), contract);
	}

	@Post("/availability-zones/{zone}/{direction}")
	Mono<MutableHttpResponse<String>> setZone(HttpRequest<?> http, String zone, String direction,
			@Header("X-Publish-Id") @Nullable String publishId) {
		this.authentication.requireOperator(http);
		String id = (publishId != null) ? publishId : UUID.randomUUID().toString();
		Change.SetZone change = new Change.SetZone(AvailabilityZone.of(zone), isOut(direction));
		return this.publisher.setZone(id, "operator", change, this.node.clock().nowMillis())
			.map((result) -> json(new Accepted(id, result.offset(), result.isConfirmed())));
	}

	@Post("/instances/{instance}/{direction}")
	Mono<MutableHttpResponse<String>> setInstance(HttpRequest<?> http, String instance, String direction,
			@Header("X-Publish-Id") @Nullable String publishId) {
		this.authentication.requireOperator(http);
		return publish(new Change.SetInstance(InstanceId.of(instance), isOut(direction)), null, publishId);
	}

	private static boolean isOut(String direction) {
		if (!direction.equals("out") && !direction.equals("in")) {
			throw new PoplarloomException(ErrorCode.NOT_FOUND,
					"the direction must be out or in, but was '" + direction + "'");
		}
		return direction.equals("out");
	}

	@Post("/models/{model}")
	@Consumes(MediaType.ALL)
	Mono<MutableHttpResponse<String>> setModel(HttpRequest<?> http, String model, @QueryValue @Nullable Long expected,
			@Header("X-Publish-Id") @Nullable String publishId, @Body String document) {
		this.authentication.requireOperator(http);
		ModelUpdate update = Documents.read(document, ModelUpdate.class);
		if (update.version() == null) {
			throw new PoplarloomException(ErrorCode.INVALID_DOCUMENT, "the field version is required");
		}
		return publish(new Change.SetModel(model, update.version(), orEmpty(update.adapter()), orEmpty(update.role())),
				expected, publishId);
	}

	private static String orEmpty(String text) {
		return (text != null) ? text : "";
	}

	@Get("/endpoints")
	HttpResponse<String> endpoints(HttpRequest<?> http) {
		this.authentication.requireOperator(http);
		List<ListedInstance> endpoints = this.node.directory()
			.listed()
			.stream()
			.filter((entry) -> !entry.kind().equals(ListedInstance.ENTRY))
			.toList();
		return json(endpoints);
	}

	@Get("/status")
	Mono<MutableHttpResponse<String>> status(HttpRequest<?> http, @QueryValue @Nullable String publication) {
		this.authentication.requireOperator(http);
		return this.status.instances(orEmpty(publication)).map((instances) -> {
			Map<String, Object> body = new LinkedHashMap<>();
			body.put("offset", this.node.activeConfiguration().configuration().offset());
			body.put("logConnected", this.node.configurationFollower().isConnected());
			body.put("unconfirmedOrders", this.status.unconfirmedZoneCommands());
			body.put("instances", instances);
			body.put("shards", shards());
			return json(body);
		});
	}

	@Get("/usage/pages")
	Mono<MutableHttpResponse<String>> usagePages(HttpRequest<?> http) {
		this.authentication.requireOperator(http);
		return Mono.from(this.node.log().streamNames(UsagePublisher.STREAM_PREFIX))
			.flatMapMany(Flux::fromIterable)
			.concatMap((stream) -> readAll(stream, 0))
			.collectList()
			.map((records) -> HttpResponse.ok("[" + String.join(",", records) + "]")
				.contentType(MediaType.APPLICATION_JSON_TYPE));
	}

	private Flux<String> readAll(String stream, long from) {
		return Mono.from(this.node.log().read(stream, from, 0)).flatMapMany((page) -> {
			Flux<String> records = Flux.fromIterable(page.records()).map(LogPort.Entry::value);
			long next = Math.max(from, page.first()) + page.records().size();
			boolean isEnd = page.records().isEmpty() || next >= page.next();
			return isEnd ? records : records.concatWith(Flux.defer(() -> readAll(stream, next)));
		});
	}

	private List<ShardLine> shards() {
		List<ShardLine> lines = new ArrayList<>();
		for (ShardStatus shard : this.node.membership().liveShards(this.node.clock().nowMillis())) {
			boolean isOut = this.node.activeConfiguration().state().isZoneOut(shard.shard().zone());
			lines.add(new ShardLine(shard.shard().toString(), shard.home().value(), shard.summary().endpoints(),
					shard.summary().slots(), shard.summary().running(), shard.summary().queued(), isOut));
		}
		lines.sort((first, second) -> first.shard().compareTo(second.shard()));
		return lines;
	}

	private static MutableHttpResponse<String> json(Object body) {
		return HttpResponse.ok(Documents.write(body)).contentType(MediaType.APPLICATION_JSON_TYPE);
	}

	/**
	 * The response to an accepted change.
	 */
	record Accepted(String id, long offset, boolean isConfirmed) {
	}

	/**
	 * A contract and the offset of its last change.
	 */
	record VersionedContract(long version, Contract contract) {
	}

	/**
	 * The desired state of a model's endpoints.
	 */
	record ModelUpdate(String version, String adapter, String role) {
	}

	/**
	 * The state of one shard in the cluster status.
	 */
	record ShardLine(String shard, String home, int endpoints, int slots, int running, int queued, boolean isOut) {
	}

}
