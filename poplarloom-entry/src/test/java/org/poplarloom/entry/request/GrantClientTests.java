package org.poplarloom.entry.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;

import org.poplarloom.core.AvailabilityZone;
import org.poplarloom.core.EndpointId;
import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.FencingToken;
import org.poplarloom.core.InstanceId;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.TeamId;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.core.process.HomeSummary;
import org.poplarloom.core.process.Member;
import org.poplarloom.core.process.MembershipTable;
import org.poplarloom.core.process.ShardId;
import org.poplarloom.core.process.ShardStatus;
import org.poplarloom.core.request.Grant;
import org.poplarloom.core.request.GrantRequest;
import org.poplarloom.core.request.ParallelPrefill;
import org.poplarloom.core.request.Share;
import org.poplarloom.core.usage.OwnerKey;
import org.poplarloom.entry.Settings;
import org.poplarloom.entry.process.Clock;
import org.poplarloom.entry.process.EndpointDirectory;
import org.poplarloom.entry.process.HomeSelector;
import org.poplarloom.entry.process.LoadSpread;
import org.poplarloom.entry.process.Peers;
import org.poplarloom.entry.version.ActiveConfiguration;
import org.poplarloom.port.InstanceListPort.ListedInstance;
import org.poplarloom.wire.message.Message;

/**
 * Tests for {@link GrantClient} against homes that answer as scripted.
 * <p>
 * The tests guard against requests that wait for a timeout at the same unresponsive home
 * every time, that queue although another home could start them, that leave a queue too
 * early, and against grants that a home keeps after the request was granted by another.
 */
public class GrantClientTests {

	private static final AvailabilityZone LOCAL_ZONE = AvailabilityZone.of("norte-a");

	private static final InstanceId SELF = InstanceId.of("self");

	private static final InstanceId FAR = InstanceId.of("far");

	private static final TeamId TEAM = TeamId.of("rota");

	private final Clock clock = Clock.steady();

	private final List<ListedInstance> listed = new ArrayList<>();

	private EndpointDirectory directory;

	private MembershipTable membership;

	private ScriptedHomes homes;

	private GrantClient client;

	@BeforeMethod
	public void createClient() {
		Settings settings = new Settings(SELF, LOCAL_ZONE, "127.0.0.1", 0, 1, "", "", "0123456789abcdef", "", 1, 60_000,
				1, ColdStartRamp.Settings.DEFAULT, 0, 1_000, OwnerKey.none(), "none", 0, Settings.TableReaders.ALL,
				Settings.Load.DEFAULT);
		this.listed.clear();
		this.directory = new EndpointDirectory(LOCAL_ZONE, (zone) -> Mono.just(List.copyOf(this.listed)),
				(address) -> Mono.empty(), this.clock);
		this.membership = MembershipTable.of(new Member(SELF, LOCAL_ZONE, "127.0.0.1:1", 1, 0, false, 0), 60_000);
		ShardStatus far = new ShardStatus(new ShardId(AvailabilityZone.of("norte-b"), 0), FAR, "127.0.0.1:2",
				this.clock.nowMillis(), new HomeSummary(4, 44, 1, 0, false));
		this.membership.mergeShards(List.of(far), this.clock.nowMillis());
		this.homes = new ScriptedHomes();
		this.client = new GrantClient(new HomeSelector(settings, this.membership, new ActiveConfiguration(),
				this.directory, this.clock, new LoadSpread(settings.load())), this.homes, this.clock);
	}

	private GrantRequest request(ParallelPrefill parallelPrefill) {
		return new GrantRequest("r", 1, TEAM, "model", 5_000, 100, 0, this.clock.nowMillis() + 5_000, false, Set.of(),
				null, parallelPrefill);
	}

	private static Message granted(Message.AcquireGrant acquire, int endpoints) {
		List<Share> shares = new ArrayList<>();
		for (int i = 0; i < endpoints; i++) {
			shares.add(new Share(EndpointId.of("e" + i), 0));
		}
		Grant grant = new Grant(acquire.request(), shares, FencingToken.NONE, acquire.request().deadlineMillis(), 30);
		return new Message.GrantAcquired(grant, shares.stream().map((share) -> "a").toList(),
				shares.stream().map((share) -> "b").toList());
	}

	private static Message busy(long delayMillis) {
		return new Message.GrantRefused(ErrorCode.HOME_BUSY, delayMillis);
	}

	@Test
	public void aHomeThatDoesNotReplyIsAvoidedAfterOneTimeout() {
		this.homes.replies.put(FAR, (acquire) -> granted(acquire, 1));
		HeldGrant first = this.client.acquire(request(null), "").block();
		Assert.assertEquals(first.home().home(), FAR);
		Assert.assertTrue(this.homes.wasReleased(SELF),
				"the home that did not reply may have queued or granted the request");
		int requestsBefore = this.homes.requestCount(SELF);
		this.client.acquire(request(null), "").block();
		Assert.assertEquals(this.homes.requestCount(SELF), requestsBefore);
	}

	@Test
	public void afterAStartARequestWaitsForTheHomeOfAZoneThatAloneHasTheService() {
		InstanceId late = InstanceId.of("late");
		this.listed.add(new ListedInstance("e1", ListedInstance.ENGINE, "norte-c", "127.0.0.1:4", false));
		this.directory.refresh().block();
		this.homes.replies.put(SELF, (acquire) -> new Message.GrantRefused(ErrorCode.NO_ENDPOINT, 0));
		this.homes.replies.put(FAR, (acquire) -> new Message.GrantRefused(ErrorCode.NO_ENDPOINT, 0));
		this.homes.replies.put(late, (acquire) -> granted(acquire, 1));
		CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS)
			.execute(
					() -> this.membership.mergeShards(
							List.of(new ShardStatus(new ShardId(AvailabilityZone.of("norte-c"), 0), late, "127.0.0.1:3",
									this.clock.nowMillis(), new HomeSummary(1, 6, 0, 0, false))),
							this.clock.nowMillis()));
		Assert.assertEquals(this.client.acquire(request(null), "").block().home().home(), late);
	}

	@Test
	public void aRefusalByAllHomesIsFinalWhenEveryZoneIsKnown() {
		this.homes.replies.put(SELF, (acquire) -> new Message.GrantRefused(ErrorCode.NO_ENDPOINT, 0));
		this.homes.replies.put(FAR, (acquire) -> new Message.GrantRefused(ErrorCode.NO_ENDPOINT, 0));
		long startMillis = this.clock.nowMillis();
		Assert.assertThrows(PoplarloomException.class, () -> this.client.acquire(request(null), "").block());
		Assert.assertTrue(this.clock.nowMillis() - startMillis < 1_000);
	}

	@Test
	public void aHomeThatIsNotBusyIsPreferredToABusyOne() {
		this.homes.replies.put(SELF, (acquire) -> busy(900));
		this.homes.replies.put(FAR, (acquire) -> granted(acquire, 1));
		Assert.assertEquals(this.client.acquire(request(null), "").block().home().home(), FAR);
	}

	@Test
	public void theHomeWithTheShortestExpectedDelayQueuesTheRequestIfAllAreBusy() {
		this.homes.replies.put(SELF, (acquire) -> acquire.isFailFast() ? busy(900) : granted(acquire, 1));
		this.homes.replies.put(FAR, (acquire) -> acquire.isFailFast() ? busy(100) : granted(acquire, 1));
		Assert.assertEquals(this.client.acquire(request(null), "").block().home().home(), FAR);
	}

	@Test
	public void aQueuedRequestIsRenewedUntilItIsGranted() {
		int[] queueRequests = new int[1];
		this.homes.replies.put(FAR, (acquire) -> busy(900));
		this.homes.replies.put(SELF, (acquire) -> {
			if (acquire.isFailFast()) {
				return busy(100);
			}
			return (++queueRequests[0] < 4) ? new Message.GrantRefused(ErrorCode.STILL_QUEUED, 0) : granted(acquire, 1);
		});
		Assert.assertEquals(this.client.acquire(request(null), "").block().home().home(), SELF);
		Assert.assertEquals(queueRequests[0], 4);
	}

	/**
	 * Guards against a request that stays in the queue of a busy home for good because
	 * the home of another zone was not ready when it was queued.
	 */
	@Test
	public void aQueuedRequestMovesToAHomeThatBecomesReady() {
		int[] queueRequests = new int[1];
		this.homes.replies.put(FAR, (acquire) -> (queueRequests[0] == 0)
				? new Message.GrantRefused(ErrorCode.NOT_HOME, 0) : granted(acquire, 1));
		this.homes.replies.put(SELF, (acquire) -> acquire.isFailFast() ? busy(900)
				: (++queueRequests[0] < 4) ? new Message.GrantRefused(ErrorCode.STILL_QUEUED, 0) : granted(acquire, 1));
		Assert.assertEquals(this.client.acquire(request(null), "").block().home().home(), FAR);
		Assert.assertTrue(this.homes.wasReleased(SELF), "the request is still in the queue of its first home");
	}

	@Test
	public void aBusyHomeIsNotAskedAgainWhileTheRequestIsQueued() {
		int[] queueRequests = new int[1];
		this.homes.replies.put(FAR, (acquire) -> busy(900));
		this.homes.replies.put(SELF, (acquire) -> acquire.isFailFast() ? busy(100)
				: (++queueRequests[0] < 4) ? new Message.GrantRefused(ErrorCode.STILL_QUEUED, 0) : granted(acquire, 1));
		this.client.acquire(request(null), "").block();
		Assert.assertEquals(this.homes.requestCount(FAR), 1);
	}

	@Test
	public void acquiringWithoutQueueingFailsAsBusyIfAllHomesAreBusy() {
		this.homes.replies.put(SELF, (acquire) -> busy(900));
		this.homes.replies.put(FAR, (acquire) -> busy(900));
		try {
			this.client.acquireWithoutQueueing(request(null)).block();
			Assert.fail("the request was granted");
		}
		catch (PoplarloomException ex) {
			Assert.assertEquals(ex.code(), ErrorCode.HOME_BUSY);
		}
	}

	@Test
	public void endpointsForParallelPrefillComeFromFurtherHomesUntilThereAreEnough() {
		this.homes.replies.put(SELF,
				(acquire) -> granted(acquire, Math.min(2, acquire.request().parallelPrefill().maxParts())));
		this.homes.replies.put(FAR, (acquire) -> granted(acquire, acquire.request().parallelPrefill().maxParts()));
		List<HeldGrant> held = this.client.acquireParallelPrefill(request(new ParallelPrefill(5, 5, 100, 10))).block();
		Assert.assertEquals(held.stream().mapToInt((grant) -> grant.grant().shares().size()).sum(), 5);
		Assert.assertEquals(held.get(0).home().home(), SELF);
		held.forEach((grant) -> this.client.release(grant, null));
		Assert.assertEquals(this.client.heldCount(), 0);
	}

	@Test
	public void aHomeThatDoesNotReplyAddsNoEndpointsAndGetsARelease() {
		this.homes.replies.put(FAR, (acquire) -> granted(acquire, 1));
		List<HeldGrant> held = this.client.acquireParallelPrefill(request(new ParallelPrefill(3, 3, 100, 10))).block();
		Assert.assertEquals(held.size(), 1);
		Assert.assertTrue(this.homes.wasReleased(SELF));
	}

	/**
	 * Homes that send scripted replies, or none.
	 */
	private static final class ScriptedHomes implements Peers {

		private final Map<InstanceId, Function<Message.AcquireGrant, Message>> replies = new HashMap<>();

		private final List<InstanceId> requests = new ArrayList<>();

		private final List<InstanceId> releases = new ArrayList<>();

		int requestCount(InstanceId home) {
			return (int) this.requests.stream().filter(home::equals).count();
		}

		boolean wasReleased(InstanceId home) {
			return this.releases.contains(home);
		}

		@Override
		public void send(InstanceId instance, String address, Message message) {
			if (message instanceof Message.Release) {
				this.releases.add(instance);
			}
		}

		@Override
		public CompletableFuture<Message> request(InstanceId instance, String address, Message message,
				long timeoutMillis) {
			this.requests.add(instance);
			Function<Message.AcquireGrant, Message> reply = this.replies.get(instance);
			if (reply == null) {
				return new CompletableFuture<Message>().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
			}
			return CompletableFuture.completedFuture(reply.apply((Message.AcquireGrant) message));
		}

	}

}
