package org.poplarloom.bench.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;

import org.poplarloom.bench.Report;
import org.poplarloom.bench.demo.Caller;
import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.FencingToken;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.process.AdaptivePlacement;
import org.poplarloom.core.process.ClaimRecord;
import org.poplarloom.core.process.ClaimReplay;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.process.CrashRegistry;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.ShardHome;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.process.TeamLimiter;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantDecision;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.PromptScanner;
import org.poplarloom.core.request.Share;
import org.poplarloom.core.usage.UsageLedger;
import org.poplarloom.core.version.Change;
import org.poplarloom.core.version.Configuration;
import org.poplarloom.core.version.Contract;
import org.poplarloom.core.version.Documents;
import org.poplarloom.core.version.Publication;
import org.poplarloom.core.version.ServiceTerms;
import org.poplarloom.entry.request.Fingerprint;
import org.poplarloom.port.InstanceListPort.Listed;
import org.poplarloom.wire.message.Message;
import org.poplarloom.wire.message.MessageCodec;
import org.poplarloom.wire.message.MessageCodec.Envelope;

/**
 * Measures the slopes that docs/CAPACITY.md is worked out from.
 * <p>
 * This class is not thread-safe.
 */
public final class SlopeExperiment {

	private static final int[] STATE_SIZES = { 5_000, 10_000, 20_000, 40_000 };

	private static final int[] ENDPOINT_SIZES = { 10, 20, 40, 80 };

	private static final int[] MEMBER_SIZES = { 2, 4, 8, 16 };

	private static final int[] CONTRACT_SIZES = { 425, 850, 1_700 };

	private static final int[] PROMPT_KILOBYTES = { 4, 40, 400, 4_000 };

	private static final int GC_ROUNDS = 4;

	private static final long GC_PAUSE_MILLIS = 60;

	private static final double MIN_SECONDS = 0.6;

	private static final double NANOS_PER_MICRO = 1_000;

	private static final AvailabilityZone ZONE = AvailabilityZone.of("gijon");

	private static final ShardId SHARD = new ShardId(ZONE, 11);

	private static final InstanceId HOLDER = InstanceId.of("gijon-entry-12");

	private final Report report = new Report("capacity", "slope", "unit", "points", "per_unit", "fixed", "r2");

	/**
	 * Measures all slopes.
	 * @return the table
	 */
	public Report run() {
		measureState();
		measureMessages();
		measureTime();
		return this.report;
	}

	private void add(Slope slope) {
		slope.add(this.report);
	}

	private void measureState() {
		bytes("state: endpoint ledger", (size) -> homeWith(size));
		bytes("state: held grant", (size) -> homeWithGrants(size));
		bytes("state: contract", SlopeExperiment::configurationWith);
		bytes("state: remembered publication", SlopeExperiment::rememberedIds);
		bytes("state: listed instance", (size) -> fill(size, SlopeExperiment::listed));
		bytes("state: team limiter", (size) -> fill(size, (i) -> TeamLimiter.of(contract(1), 1, 0)));
		bytes("state: member", (size) -> fill(size, SlopeExperiment::member));
		bytes("state: shard status", (size) -> fill(size, SlopeExperiment::status));
		bytes("state: claim", SlopeExperiment::claims);
		bytes("state: suspected request", SlopeExperiment::crashes);
		bytes("state: usage line", SlopeExperiment::book);
	}

	private void bytes(String name, IntFunction<Object> state) {
		state.apply(STATE_SIZES[0]);
		add(Slope.measure(name, "bytes", STATE_SIZES, (size) -> {
			long before = usedHeap();
			Object held = state.apply(size);
			long after = usedHeap();
			if (held.hashCode() == 1) {
				System.out.print("");
			}
			return after - before;
		}));
	}

	private static long usedHeap() {
		for (int i = 0; i < GC_ROUNDS; i++) {
			System.gc();
			try {
				Thread.sleep(GC_PAUSE_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private void measureMessages() {
		add(Slope.measure("message: gossip by members", "bytes", MEMBER_SIZES, (size) -> size(gossip(size, 0))));
		add(Slope.measure("message: gossip by shard statuses", "bytes", new int[] { 0, 2, 4, 6 },
				(size) -> size(gossip(1, size))));
		add(Slope.measure("message: heartbeat by own shards", "bytes", new int[] { 0, 1, 2, 4 },
				(size) -> size(heartbeat(size))));
		add(Slope.measure("message: configuration by contracts", "bytes", CONTRACT_SIZES, (size) -> size(
				new Message.ConfigurationContent(Documents.write(configurationWith(size).toSnapshot())))));
		fixed("message: grant ask", size(new Message.GrantAsk(SHARD, request(1), "", 1, true)));
		fixed("message: grant given",
				size(new Message.GrantGiven(grant(1), List.of("10.10.10.10:8000"), List.of("gijon-engine-123-1"))));
		fixed("message: first token", size(new Message.FirstToken(SHARD, request(1).key())));
		fixed("message: release", size(new Message.Release(SHARD, request(1).key(), null)));
		Configuration changed = configurationWith(1_700).withPublication(1_701, publication(7, "new"));
		fixed("message: configuration change",
				size(new Message.ConfigurationContent(Documents.write(changed.changesSince(1_700)))));
		fixed("record: claim", Documents.write(claim(1)).length());
		fixed("record: outcome", Documents.write(claim(1).withOutcome(200, "application/json", "{\"ok\":1}")).length());
	}

	private void fixed(String name, double value) {
		this.report.add(name, "bytes", "-", 0.0, value, 1.0);
	}

	private static int size(Message message) {
		return MessageCodec.write(new Envelope(123_456, false, message)).length + 4;
	}

	private void measureTime() {
		add(Slope.measure("time: grant and release by endpoints", "us", ENDPOINT_SIZES, SlopeExperiment::grantMicros));
		add(Slope.measure("time: gossip written and read by members", "us", MEMBER_SIZES, (size) -> micros(() -> {
			byte[] frame = MessageCodec.write(new Envelope(0, false, gossip(size, MembershipTable.MAX_GOSSIP_SHARDS)));
			MessageCodec.read(frame);
		})));
		add(Slope.measure("time: heartbeat written and read by own shards", "us", new int[] { 0, 1, 2, 4 }, (
				size) -> micros(() -> MessageCodec.read(MessageCodec.write(new Envelope(0, false, heartbeat(size)))))));
		add(Slope.measure("time: publication applied by contracts", "us", CONTRACT_SIZES, (size) -> {
			Configuration configuration = configurationWith(size);
			Publication publication = publication(size - 1, "new");
			return micros(() -> configuration.withPublication(size + 1, publication));
		}));
		add(Slope.measure("time: configuration read by contracts", "us", CONTRACT_SIZES, (size) -> {
			String json = Documents.write(configurationWith(size).toSnapshot());
			return micros(() -> Configuration.of(Documents.read(json, Configuration.Snapshot.class)));
		}));
		add(Slope.measure("time: prompt scanned by kilobytes", "us", PROMPT_KILOBYTES, (size) -> {
			byte[] body = Caller.prompt(size * 256L, 10, "");
			return micros(() -> PromptScanner.scan(body));
		}));
		add(Slope.measure("time: prompt fingerprint by kilobytes", "us", PROMPT_KILOBYTES, (size) -> {
			byte[] body = Caller.prompt(size * 256L, 10, "");
			return micros(() -> Fingerprint.of(body));
		}));
		byte[] ask = MessageCodec.write(new Envelope(1, false, new Message.GrantAsk(SHARD, request(1), "", 1, true)));
		this.report.add("time: grant ask written", "us", "-", 0.0, micros(
				() -> MessageCodec.write(new Envelope(1, false, new Message.GrantAsk(SHARD, request(1), "", 1, true)))),
				1.0);
		this.report.add("time: grant ask read", "us", "-", 0.0, micros(() -> MessageCodec.read(ask)), 1.0);
	}

	private static double micros(Runnable task) {
		double warmUntil = System.nanoTime() + MIN_SECONDS * 1e9;
		long rounds = 0;
		while (System.nanoTime() < warmUntil) {
			task.run();
			rounds++;
		}
		long start = System.nanoTime();
		for (long i = 0; i < rounds; i++) {
			task.run();
		}
		return (System.nanoTime() - start) / NANOS_PER_MICRO / rounds;
	}

	private static double grantMicros(int endpoints) {
		ShardHome home = homeWith(endpoints);
		for (int i = 0; i < endpoints * 16; i++) {
			home.request(HOLDER, request(i), 0);
		}
		int[] next = { 1_000_000 };
		return micros(() -> {
			GrantDecision decision = home.request(HOLDER, request(next[0]++), 0);
			home.release(((GrantDecision.Granted) decision).grant().key(), 0);
		});
	}

	private static List<Object> fill(int size, IntFunction<Object> element) {
		List<Object> elements = new ArrayList<>(size);
		for (int i = 0; i < size; i++) {
			elements.add(element.apply(i));
		}
		return elements;
	}

	private static ShardHome homeWith(int endpoints) {
		ShardHome home = ShardHome.of(new AdaptivePlacement(), ColdStartRamp.Settings.DEFAULT, 0);
		List<EndpointReport> reports = new ArrayList<>();
		for (int i = 0; i < endpoints; i++) {
			reports.add(new EndpointReport(EndpointId.of("gijon-engine-" + i), "gijon-engine-" + i + "-1", false,
					Set.of("loom-large"), 64, 450_000, 20_000, 0, 1_000_000, Set.of(), 0));
		}
		home.observe(reports, Set.of(), 0);
		return home;
	}

	private static ShardHome homeWithGrants(int grants) {
		ShardHome home = homeWith(20);
		for (int i = 0; i < grants; i++) {
			home.announce(HOLDER, grant(i), 0);
		}
		return home;
	}

	private static GrantRequest request(int index) {
		return new GrantRequest("chatcmpl-0b5e8a9c-3a52-4b0c-9d7e-" + index, 1, TeamId.of("team-17"), "loom-large",
				2_000, 200, 0, 1_796_000_000_000L, false, Set.of());
	}

	private static Grant grant(int index) {
		return new Grant(request(index), List.of(new Share(EndpointId.of("gijon-engine-" + index % 20), 2_200)),
				new FencingToken(65_540), 1_796_000_002_000L, 30);
	}

	private static Contract contract(int index) {
		return new Contract(TeamId.of("team-" + index), "owner", List.of(Fingerprint.ofKey("key-" + index)), 10, 1_000,
				100, 2_000_000, 1_000_000, 300, 10, Set.of("loom-large", "loom-small"),
				Map.of("rehandle", new ServiceTerms(false, 86_400)));
	}

	private static Publication publication(int index, String suffix) {
		return new Publication("0b5e8a9c-3a52-4b0c-9d7e-" + index + suffix, Publication.ANY_OFFSET, "operator",
				new Change.PutContract(contract(index)));
	}

	private static Configuration configurationWith(int contracts) {
		List<Configuration.Entry> entries = new ArrayList<>();
		for (int i = 0; i < contracts; i++) {
			entries.add(new Configuration.Entry(i, new Change.PutContract(contract(i))));
		}
		return Configuration.of(new Configuration.Snapshot(Publication.NO_OFFSET, contracts, entries, Map.of()));
	}

	private static Object rememberedIds(int size) {
		Map<String, Long> ids = new LinkedHashMap<>();
		for (long i = 0; i < size; i++) {
			ids.put("0b5e8a9c-3a52-4b0c-9d7e-" + i, i);
		}
		return ids;
	}

	private static Listed listed(int index) {
		return new Listed("gijon-engine-" + index, new String("engine"), new String("gijon"), "10.10.10.10:" + index,
				false);
	}

	private static Member member(int index) {
		return new Member(InstanceId.of("gijon-entry-" + index), ZONE, "10.10.10." + index + ":8081",
				1_796_000_000_000L, 100_000 + index, false);
	}

	private static ShardStatus status(int index) {
		return new ShardStatus(new ShardId(ZONE, index), InstanceId.of("gijon-entry-" + index),
				"10.10.10." + index + ":8081", 1_796_000_000_000L, new HomeSummary(20, 1_280, 600, 3, false));
	}

	private static Message heartbeat(int shards) {
		List<Message.ShardLoad> loads = new ArrayList<>();
		for (int i = 0; i < shards; i++) {
			loads.add(new Message.ShardLoad(i, status(i).summary()));
		}
		return new Message.Heartbeat(1_796_000_000_000L, 123_456, 654_321, 987_654_321_987L, loads);
	}

	private static Message gossip(int members, int shards) {
		List<Member> memberList = new ArrayList<>();
		for (int i = 0; i < members; i++) {
			memberList.add(member(i));
		}
		List<ShardStatus> shardList = new ArrayList<>();
		for (int i = 0; i < shards; i++) {
			shardList.add(status(i));
		}
		return new Message.Gossip(memberList, shardList, 123_456, 987_654_321L, List.of(), List.of());
	}

	private static ClaimRecord claim(int index) {
		return ClaimRecord.claim("brindley/rehandle/0196a5c8-3a52-7b0c-9d7e-" + index,
				"0b5e8a9c-3a52-4b0c-9d7e-" + index, "0123456789abcdef0123456789abcdef");
	}

	private static Object claims(int size) {
		ClaimReplay fold = new ClaimReplay();
		for (int i = 0; i < size; i++) {
			fold.apply(i, claim(i));
		}
		return fold;
	}

	private static Object crashes(int size) {
		CrashRegistry register = CrashRegistry.of(1_000);
		for (int i = 0; i < size; i++) {
			register.recordCrash("0123456789abcdef" + i, EndpointId.of("e" + i % 100), "boot", 0);
		}
		return register;
	}

	private static Object book(int size) {
		UsageLedger book = new UsageLedger();
		for (int i = 0; i < size; i++) {
			book.add("gijon-entry-1@1796000000000", UsageLedger.Key.of(0, "owner", TeamId.of("team-" + i), "loom-large",
					EndpointId.of("gijon-engine-" + i % 100)), new UsageLedger.Totals(1, 2, 3));
		}
		return book;
	}

}
