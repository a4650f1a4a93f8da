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
import org.poplarloom.core.process.TablePosition;
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
import org.poplarloom.port.InstanceListPort.ListedInstance;
import org.poplarloom.wire.message.Message;
import org.poplarloom.wire.message.MessageCodec;
import org.poplarloom.wire.message.MessageCodec.Envelope;

/**
 * Measures how heap, message sizes and processor time grow with the size of the system,
 * and fits a straight line to each; docs/CAPACITY.md is calculated from the slopes.
 * <p>
 * This class is not thread-safe.
 */
public final class CapacityExperiment {

	private static final TablePosition TABLE_POSITION = TablePosition.of(1, 4_321);

	private static final int[] STATE_COUNTS = { 5_000, 10_000, 20_000, 40_000 };

	private static final int[] ENDPOINT_COUNTS = { 10, 20, 40, 80 };

	private static final int[] MEMBER_COUNTS = { 2, 4, 8, 16 };

	private static final int[] CONTRACT_COUNTS = { 425, 850, 1_700 };

	private static final int[] PROMPT_KILOBYTES = { 4, 40, 400, 4_000 };

	private static final int LENGTH_PREFIX_BYTES = 4;

	private static final int GC_ROUNDS = 4;

	private static final long GC_PAUSE_MILLIS = 60;

	private static final double WARM_UP_SECONDS = 0.6;

	private static final double NANOS_PER_MICRO = 1_000;

	private static final AvailabilityZone ZONE = AvailabilityZone.of("gijon");

	private static final ShardId SHARD = new ShardId(ZONE, 11);

	private static final InstanceId HOLDER = InstanceId.of("gijon-entry-12");

	private final Report report = new Report("capacity", "slope", "unit", "points", "per_unit", "fixed", "r2");

	/**
	 * Measures all costs.
	 * @return the report, one row per cost
	 */
	public Report run() {
		measureHeap();
		measureMessages();
		measureTime();
		return this.report;
	}

	private void addFit(LinearFit fit) {
		fit.addTo(this.report);
	}

	private void measureHeap() {
		addHeapFit("state: endpoint ledger", (count) -> homeWithEndpoints(count));
		addHeapFit("state: held grant", (count) -> homeWithGrants(count));
		addHeapFit("state: contract", CapacityExperiment::configurationWithContracts);
		addHeapFit("state: remembered publication", CapacityExperiment::appliedIds);
		addHeapFit("state: listed instance", (count) -> listOf(count, CapacityExperiment::listedInstance));
		addHeapFit("state: team limiter", (count) -> listOf(count, (i) -> TeamLimiter.of(contract(1), 1, 0)));
		addHeapFit("state: member", (count) -> listOf(count, CapacityExperiment::member));
		addHeapFit("state: shard status", (count) -> listOf(count, CapacityExperiment::shardStatus));
		addHeapFit("state: claim", CapacityExperiment::claimReplay);
		addHeapFit("state: suspected request", CapacityExperiment::crashRegistry);
		addHeapFit("state: usage line", CapacityExperiment::usageLedger);
	}

	private void addHeapFit(String name, IntFunction<Object> state) {
		state.apply(STATE_COUNTS[0]);
		addFit(LinearFit.measure(name, "bytes", STATE_COUNTS, (count) -> {
			long bytesBefore = usedHeapBytes();
			Object measured = state.apply(count);
			long bytesAfter = usedHeapBytes();
			// Uses the state so that it is not collected before the heap is measured.
			if (measured.hashCode() == 1) {
				System.out.print("");
			}
			return bytesAfter - bytesBefore;
		}));
	}

	private static long usedHeapBytes() {
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
		addFit(LinearFit.measure("message: gossip by members", "bytes", MEMBER_COUNTS,
				(count) -> frameBytes(gossip(count, 0))));
		addFit(LinearFit.measure("message: gossip by shard statuses", "bytes", new int[] { 0, 2, 4, 6 },
				(count) -> frameBytes(gossip(1, count))));
		addFit(LinearFit.measure("message: heartbeat by own shards", "bytes", new int[] { 0, 1, 2, 4 },
				(count) -> frameBytes(heartbeat(count))));
		addFit(LinearFit.measure("message: configuration by contracts", "bytes", CONTRACT_COUNTS, (count) -> frameBytes(
				new Message.ConfigurationContent(Documents.write(configurationWithContracts(count).toSnapshot())))));
		addFixedBytes("message: grant ask", frameBytes(new Message.AcquireGrant(SHARD, request(1), "", 1, true)));
		addFixedBytes("message: grant given", frameBytes(
				new Message.GrantAcquired(grant(1), List.of("10.10.10.10:8000"), List.of("gijon-engine-123-1"))));
		addFixedBytes("message: first token", frameBytes(new Message.FirstToken(SHARD, request(1).key())));
		addFixedBytes("message: release", frameBytes(new Message.Release(SHARD, request(1).key(), null)));
		Configuration changed = configurationWithContracts(1_700).withPublication(1_701, publication(7, "new"));
		addFixedBytes("message: configuration change",
				frameBytes(new Message.ConfigurationContent(Documents.write(changed.changesSince(1_700)))));
		addFixedBytes("record: claim", Documents.write(claim(1)).length());
		addFixedBytes("record: outcome",
				Documents.write(claim(1).withOutcome(200, "application/json", "{\"ok\":1}")).length());
	}

	private void addFixedBytes(String name, double value) {
		this.report.addRow(name, "bytes", "-", 0.0, value, 1.0);
	}

	private static int frameBytes(Message message) {
		return MessageCodec.write(new Envelope(123_456, false, message)).length + LENGTH_PREFIX_BYTES;
	}

	private void measureTime() {
		addFit(LinearFit.measure("time: grant and release by endpoints", "us", ENDPOINT_COUNTS,
				CapacityExperiment::microsPerGrant));
		addFit(LinearFit.measure("time: gossip written and read by members", "us", MEMBER_COUNTS,
				(count) -> microsPerCall(() -> {
					byte[] frame = MessageCodec
						.write(new Envelope(0, false, gossip(count, MembershipTable.MAX_GOSSIP_SHARDS)));
					MessageCodec.read(frame);
				})));
		addFit(LinearFit.measure("time: heartbeat written and read by own shards", "us", new int[] { 0, 1, 2, 4 },
				(count) -> microsPerCall(
						() -> MessageCodec.read(MessageCodec.write(new Envelope(0, false, heartbeat(count)))))));
		addFit(LinearFit.measure("time: publication applied by contracts", "us", CONTRACT_COUNTS, (count) -> {
			Configuration configuration = configurationWithContracts(count);
			Publication publication = publication(count - 1, "new");
			return microsPerCall(() -> configuration.withPublication(count + 1, publication));
		}));
		addFit(LinearFit.measure("time: configuration read by contracts", "us", CONTRACT_COUNTS, (count) -> {
			String json = Documents.write(configurationWithContracts(count).toSnapshot());
			return microsPerCall(() -> Configuration.of(Documents.read(json, Configuration.Snapshot.class)));
		}));
		addFit(LinearFit.measure("time: prompt scanned by kilobytes", "us", PROMPT_KILOBYTES, (kilobytes) -> {
			byte[] body = Caller.chatRequestBody(kilobytes * 256L, 10, "");
			return microsPerCall(() -> PromptScanner.scan(body));
		}));
		addFit(LinearFit.measure("time: prompt fingerprint by kilobytes", "us", PROMPT_KILOBYTES, (kilobytes) -> {
			byte[] body = Caller.chatRequestBody(kilobytes * 256L, 10, "");
			return microsPerCall(() -> Fingerprint.of(body));
		}));
		byte[] acquireGrantFrame = MessageCodec
			.write(new Envelope(1, false, new Message.AcquireGrant(SHARD, request(1), "", 1, true)));
		this.report.addRow("time: grant ask written", "us", "-", 0.0, microsPerCall(() -> MessageCodec
			.write(new Envelope(1, false, new Message.AcquireGrant(SHARD, request(1), "", 1, true)))), 1.0);
		this.report.addRow("time: grant ask read", "us", "-", 0.0,
				microsPerCall(() -> MessageCodec.read(acquireGrantFrame)), 1.0);
	}

	private static double microsPerCall(Runnable call) {
		double warmUpEndNanos = System.nanoTime() + WARM_UP_SECONDS * 1e9;
		long calls = 0;
		while (System.nanoTime() < warmUpEndNanos) {
			call.run();
			calls++;
		}
		long startNanos = System.nanoTime();
		for (long i = 0; i < calls; i++) {
			call.run();
		}
		return (System.nanoTime() - startNanos) / NANOS_PER_MICRO / calls;
	}

	private static double microsPerGrant(int endpoints) {
		ShardHome home = homeWithEndpoints(endpoints);
		for (int i = 0; i < endpoints * 16; i++) {
			home.request(HOLDER, request(i), 0);
		}
		int[] nextIndex = { 1_000_000 };
		return microsPerCall(() -> {
			GrantDecision decision = home.request(HOLDER, request(nextIndex[0]++), 0);
			home.release(((GrantDecision.Granted) decision).grant().key(), 0);
		});
	}

	private static List<Object> listOf(int count, IntFunction<Object> element) {
		List<Object> elements = new ArrayList<>(count);
		for (int i = 0; i < count; i++) {
			elements.add(element.apply(i));
		}
		return elements;
	}

	private static ShardHome homeWithEndpoints(int endpoints) {
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
		ShardHome home = homeWithEndpoints(20);
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

	private static Configuration configurationWithContracts(int contracts) {
		List<Configuration.Entry> entries = new ArrayList<>();
		for (int i = 0; i < contracts; i++) {
			entries.add(new Configuration.Entry(i, new Change.PutContract(contract(i))));
		}
		return Configuration.of(new Configuration.Snapshot(Publication.NO_OFFSET, contracts, entries, Map.of()));
	}

	private static Object appliedIds(int count) {
		Map<String, Long> ids = new LinkedHashMap<>();
		for (long i = 0; i < count; i++) {
			ids.put("0b5e8a9c-3a52-4b0c-9d7e-" + i, i);
		}
		return ids;
	}

	private static ListedInstance listedInstance(int index) {
		return new ListedInstance("gijon-engine-" + index, new String("engine"), new String("gijon"),
				"10.10.10.10:" + index, false);
	}

	private static Member member(int index) {
		return new Member(InstanceId.of("gijon-entry-" + index), ZONE, "10.10.10." + index + ":8081",
				1_796_000_000_000L, 100_000 + index, false, 1.5);
	}

	private static ShardStatus shardStatus(int index) {
		return new ShardStatus(new ShardId(ZONE, index), InstanceId.of("gijon-entry-" + index),
				"10.10.10." + index + ":8081", 1_796_000_000_000L, new HomeSummary(20, 1_280, 600, 3, false));
	}

	private static Message heartbeat(int shards) {
		List<Message.ShardLoad> loads = new ArrayList<>();
		for (int i = 0; i < shards; i++) {
			loads.add(new Message.ShardLoad(i, shardStatus(i).summary()));
		}
		return new Message.Heartbeat(1_796_000_000_000L, 123_456, 654_321, 987_654_321_987L, loads, TABLE_POSITION,
				TABLE_POSITION, null, 123_456);
	}

	private static Message gossip(int members, int shards) {
		List<Member> memberList = new ArrayList<>();
		for (int i = 0; i < members; i++) {
			memberList.add(member(i));
		}
		List<ShardStatus> shardList = new ArrayList<>();
		for (int i = 0; i < shards; i++) {
			shardList.add(shardStatus(i));
		}
		return new Message.Gossip(memberList, shardList, 123_456, 987_654_321L, List.of(), List.of(), TABLE_POSITION,
				TABLE_POSITION, 123_456);
	}

	private static ClaimRecord claim(int index) {
		return ClaimRecord.claim("brindley/rehandle/0196a5c8-3a52-7b0c-9d7e-" + index,
				"0b5e8a9c-3a52-4b0c-9d7e-" + index, "0123456789abcdef0123456789abcdef");
	}

	private static Object claimReplay(int count) {
		ClaimReplay replay = new ClaimReplay();
		for (int i = 0; i < count; i++) {
			replay.apply(i, claim(i));
		}
		return replay;
	}

	private static Object crashRegistry(int count) {
		CrashRegistry registry = CrashRegistry.of(1_000);
		for (int i = 0; i < count; i++) {
			registry.recordCrash("0123456789abcdef" + i, EndpointId.of("e" + i % 100), "boot", 0);
		}
		return registry;
	}

	private static Object usageLedger(int count) {
		UsageLedger ledger = new UsageLedger();
		for (int i = 0; i < count; i++) {
			ledger.add("gijon-entry-1@1796000000000", UsageLedger.Key.of(0, "owner", TeamId.of("team-" + i),
					"loom-large", EndpointId.of("gijon-engine-" + i % 100)), new UsageLedger.Totals(1, 2, 3));
		}
		return ledger;
	}

}
