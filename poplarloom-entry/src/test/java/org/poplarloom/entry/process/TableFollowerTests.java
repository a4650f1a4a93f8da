package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.core.process.TablePosition;
import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.wire.message.Message;

/**
 * Tests for {@link TableFollower}.
 * <p>
 * A copy that misses records, keeps removed keys or goes back to older records makes an
 * instance decide on outdated state. This can happen while the platform cannot be read,
 * when it has expired records that were not read yet, and when a peer sends older
 * records.
 */
public class TableFollowerTests {

	private static final String TABLE = "table";

	private static final long ERA = 4;

	private static final ReadTiming TIMING = ReadTiming.of(0, 10);

	private static final TableCopy.RestoreGrace GRACE = new TableCopy.RestoreGrace(200, 200);

	private ScheduledExecutorService scheduler;

	private Table table;

	private final Map<String, String> received = new ConcurrentHashMap<>();

	private final List<Integer> batches = new CopyOnWriteArrayList<>();

	private final List<Message> notices = new CopyOnWriteArrayList<>();

	private Message peerReply;

	private volatile boolean isListenerFailing;

	private volatile Throwable listenerFailure;

	private volatile RuntimeException peerFailure;

	private TableFollower follower;

	@BeforeMethod
	public void start() {
		this.scheduler = Executors.newSingleThreadScheduledExecutor();
		this.table = new Table();
		this.received.clear();
		this.notices.clear();
		this.batches.clear();
		this.isListenerFailing = false;
		this.listenerFailure = null;
		this.peerFailure = null;
		this.peerReply = new Message.TableContent(TABLE, TablePosition.NONE, List.of(), true);
		this.follower = new TableFollower(TABLE, new TableCopy((restored, known) -> true, GRACE), this.table,
				() -> TIMING, this.scheduler, new SinglePeer(), this::receive, Clock.steady(), new Random(1));
	}

	private static TablePosition at(long offset) {
		return TablePosition.of(ERA, offset);
	}

	private void receive(List<KeyedTablePort.Entry> entries) {
		Throwable failure = this.listenerFailure;
		this.listenerFailure = null;
		if (failure instanceof Error error) {
			throw error;
		}
		if (failure instanceof RuntimeException exception) {
			throw exception;
		}
		if (this.isListenerFailing) {
			this.isListenerFailing = false;
			throw new IllegalStateException("the listener fails");
		}
		this.batches.add(entries.size());
		entries.forEach((entry) -> this.received.put(entry.key(), new String(entry.value(), StandardCharsets.UTF_8)));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.scheduler.shutdownNow();
	}

	private static void await(BooleanSupplier condition) {
		long end = System.currentTimeMillis() + 10_000;
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.currentTimeMillis() < end, "condition not met within 10 s");
			Thread.onSpinWait();
		}
	}

	@Test
	public void readsExistingAndNewRecordsAndNotifiesPeersOnlyOfNewOnes() {
		this.table.put("a", "1");
		this.follower.start();
		await(() -> "1".equals(this.received.get("a")));
		Assert.assertTrue(this.notices.isEmpty(), "the first read notifies no peer");
		this.table.put("a", "2");
		await(() -> "2".equals(this.received.get("a")));
		await(() -> !this.notices.isEmpty());
	}

	@Test
	public void passesAllRecordsOfOneReadToTheListenerTogether() {
		for (int i = 0; i < 200; i++) {
			this.table.put("endpoint-" + i, "1");
		}
		this.follower.start();
		await(() -> this.received.size() == 200);
		Assert.assertEquals(this.batches, List.of(200));
	}

	@Test
	public void removesKeysThatAreMissingFromTheSnapshotAfterRecordsExpired() {
		this.table.put("a", "1");
		this.table.put("b", "1");
		this.follower.start();
		await(() -> this.received.size() == 2);
		this.table.removeAndExpire("a");
		await(() -> "".equals(this.received.get("a")));
		Assert.assertEquals(this.received.get("b"), "1");
	}

	@DataProvider
	public static Object[][] failures() {
		return new Object[][] { { new StackOverflowError() }, { new AssertionError("listener") },
				{ new IllegalStateException("listener") } };
	}

	/**
	 * Guards against a follower that ends without notice because a record is more than
	 * its listener can bear.
	 */
	@Test(dataProvider = "failures")
	public void readsOnWhateverItsListenerThrows(Throwable failure) {
		this.table.put("a", "1");
		this.listenerFailure = failure;
		this.follower.start();
		await(() -> this.listenerFailure == null);
		this.table.put("b", "2");
		await(() -> "2".equals(this.received.get("b")));
		this.listenerFailure = failure;
		this.table.put("c", "3");
		await(() -> this.listenerFailure == null);
		this.table.put("d", "4");
		await(() -> "4".equals(this.received.get("d")));
	}

	/**
	 * Guards against a follower that queries its peers no more after one has sent records
	 * that its listener fails on, or whose address is none.
	 */
	@Test(dataProvider = "failures")
	public void queriesPeersOnWhateverFailsInBetween(Throwable failure) {
		this.follower.start();
		await(() -> this.follower.next().equals(at(0)));
		this.peerReply = new Message.TableContent(TABLE, at(3), List.of(new Message.TableRecord("a", "3", at(2))),
				true);
		this.listenerFailure = failure;
		this.peerFailure = new IllegalArgumentException("no address");
		this.table.isUnavailable = true;
		await(() -> this.listenerFailure == null);
		this.peerReply = new Message.TableContent(TABLE, at(5), List.of(new Message.TableRecord("b", "5", at(4))),
				true);
		await(() -> "5".equals(this.received.get("b")));
	}

	/**
	 * Guards against a follower that reads nothing more after its listener has failed on
	 * a snapshot.
	 */
	@Test
	public void readsOnAfterTheListenerFailedOnASnapshot() {
		this.table.put("a", "1");
		this.table.put("b", "1");
		this.follower.start();
		await(() -> this.received.size() == 2);
		this.isListenerFailing = true;
		this.table.removeAndExpire("a");
		await(() -> !this.isListenerFailing);
		this.table.put("b", "2");
		await(() -> "2".equals(this.received.get("b")));
	}

	@Test
	public void fetchesRecordsFromAPeerWhileThePlatformIsUnavailable() {
		this.table.put("a", "1");
		this.follower.start();
		await(() -> "1".equals(this.received.get("a")));
		this.peerReply = new Message.TableContent(TABLE, at(7), List.of(new Message.TableRecord("a", "9", at(6))),
				true);
		this.table.isUnavailable = true;
		await(() -> "9".equals(this.received.get("a")));
		Assert.assertTrue(this.follower.isPlatformUnavailable());
		this.table.isUnavailable = false;
		await(() -> !this.follower.isPlatformUnavailable());
	}

	@Test
	public void ignoresOlderRecordsFromAPeer() {
		this.table.put("a", "1");
		this.table.put("a", "2");
		this.follower.start();
		await(() -> "2".equals(this.received.get("a")));
		this.peerReply = new Message.TableContent(TABLE, at(9), List.of(new Message.TableRecord("a", "old", at(0))),
				true);
		this.table.isUnavailable = true;
		await(() -> this.follower.next().equals(at(9)));
		Assert.assertEquals(this.received.get("a"), "2");
	}

	@Test
	public void fetchesFromAPeerWhenThePlatformDoesNotDeliverWhatANoticeAnnounced() {
		this.table.put("a", "1");
		this.follower.start();
		await(() -> "1".equals(this.received.get("a")));
		this.peerReply = new Message.TableContent(TABLE, at(3), List.of(new Message.TableRecord("a", "3", at(2))),
				true);
		this.follower.handlePeerPosition("peer:1", at(3));
		await(() -> "3".equals(this.received.get("a")));
	}

	@Test
	public void returnsToAPeerOnlyTheRecordsThatItLacks() {
		this.table.put("a", "1");
		this.table.put("b", "2");
		this.follower.start();
		await(() -> this.received.size() == 2);
		Message.TableContent content = (Message.TableContent) this.follower
			.handleFetch(new Message.TableFetch(TABLE, at(1), true));
		Assert.assertEquals(content.records(), List.of(new Message.TableRecord("b", "2", at(1))));
		Assert.assertEquals(content.next(), at(2));
	}

	/**
	 * The only other instance.
	 */
	private final class SinglePeer implements TablePeers {

		@Override
		public CompletableFuture<Message> queryAny(Message query) {
			RuntimeException failure = TableFollowerTests.this.peerFailure;
			TableFollowerTests.this.peerFailure = null;
			if (failure != null) {
				throw failure;
			}
			return CompletableFuture.completedFuture(TableFollowerTests.this.peerReply);
		}

		@Override
		public CompletableFuture<Message> query(String address, Message query) {
			return queryAny(query);
		}

		@Override
		public void notifySome(Message notice) {
			TableFollowerTests.this.notices.add(notice);
		}

	}

	/**
	 * A table in memory that can be unavailable and can expire its records.
	 */
	private static final class Table implements KeyedTablePort {

		private final List<Entry> records = new ArrayList<>();

		private int firstOffset;

		private volatile boolean isUnavailable;

		synchronized void put(String key, String value) {
			this.records.add(new Entry(key, value.getBytes(StandardCharsets.UTF_8), at(this.records.size())));
		}

		synchronized void removeAndExpire(String key) {
			put(key, "");
			this.firstOffset = this.records.size();
		}

		private <T> CompletableFuture<T> unavailable() {
			return CompletableFuture
				.failedFuture(new PoplarloomException(ErrorCode.LOG_UNAVAILABLE, "the table is unavailable"));
		}

		@Override
		public synchronized CompletableFuture<Page> readNewest(String table) {
			if (this.isUnavailable) {
				return unavailable();
			}
			Map<String, Entry> newest = new ConcurrentHashMap<>();
			this.records.forEach((entry) -> newest.put(entry.key(), entry));
			newest.values().removeIf(Entry::isTombstone);
			return CompletableFuture
				.completedFuture(new Page(at(this.records.size()), false, List.copyOf(newest.values())));
		}

		@Override
		public synchronized CompletableFuture<Page> read(String table, TablePosition from, long waitMillis) {
			if (this.isUnavailable) {
				return unavailable();
			}
			if (from.offset() < this.firstOffset) {
				return CompletableFuture.completedFuture(new Page(from, true, List.of()));
			}
			int start = (int) Math.min(from.offset(), this.records.size());
			return CompletableFuture.completedFuture(new Page(from.max(at(this.records.size())), false,
					this.records.subList(start, this.records.size())));
		}

		@Override
		public CompletableFuture<TablePosition> put(String table, String key, byte[] value) {
			put(key, new String(value, StandardCharsets.UTF_8));
			return CompletableFuture.completedFuture(at(0));
		}

	}

}
