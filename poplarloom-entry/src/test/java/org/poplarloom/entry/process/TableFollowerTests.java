package org.poplarloom.entry.process;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;

import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.ErrorCode;
import org.poplarloom.core.PoplarloomException;
import org.poplarloom.port.KeyedTablePort;
import org.poplarloom.wire.message.Message;

/**
 * Tests for {@link TableFollower}.
 */
public class TableFollowerTests {

	private static final String TABLE = "table";

	private static final TableFollower.Timing TIMING = new TableFollower.Timing(0, 10);

	private ScheduledExecutorService scheduler;

	private Table table;

	private final Map<String, String> seen = new ConcurrentHashMap<>();

	private final List<Message> notices = new CopyOnWriteArrayList<>();

	private Message peerAnswer;

	private TableFollower follower;

	@BeforeMethod
	public void start() {
		this.scheduler = Executors.newSingleThreadScheduledExecutor();
		this.table = new Table();
		this.seen.clear();
		this.notices.clear();
		this.peerAnswer = new Message.TableContent(TABLE, 0, List.of());
		this.follower = new TableFollower(TABLE, this.table, () -> TIMING, this.scheduler,
				(question) -> CompletableFuture.completedFuture(this.peerAnswer), this.notices::add, this::learn,
				Clock.steady());
	}

	private void learn(KeyedTablePort.Entry entry) {
		this.seen.put(entry.key(), new String(entry.value(), StandardCharsets.UTF_8));
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.scheduler.shutdownNow();
	}

	private static void await(BooleanSupplier condition) {
		long end = System.currentTimeMillis() + 10_000;
		while (!condition.getAsBoolean()) {
			Assert.assertTrue(System.currentTimeMillis() < end, "condition did not become true in time");
			Thread.onSpinWait();
		}
	}

	@Test
	public void learnsWhatIsThereAndWhatComes() {
		this.table.put("a", "1");
		this.follower.start();
		await(() -> "1".equals(this.seen.get("a")));
		Assert.assertTrue(this.notices.isEmpty(), "the first read is no news");
		this.table.put("a", "2");
		await(() -> "2".equals(this.seen.get("a")));
		await(() -> !this.notices.isEmpty());
	}

	@Test
	public void noticesKeysThatWereRemovedWhileTheHistoryWasLost() {
		this.table.put("a", "1");
		this.table.put("b", "1");
		this.follower.start();
		await(() -> this.seen.size() == 2);
		this.table.removeSilently("a");
		await(() -> "".equals(this.seen.get("a")));
		Assert.assertEquals(this.seen.get("b"), "1");
	}

	@Test
	public void asksPeersWhileThePlatformIsAway() {
		this.table.put("a", "1");
		this.follower.start();
		await(() -> "1".equals(this.seen.get("a")));
		this.peerAnswer = new Message.TableContent(TABLE, 7, List.of(new Message.TableRecord("a", "9", 6)));
		this.table.isAway = true;
		await(() -> "9".equals(this.seen.get("a")));
		Assert.assertTrue(this.follower.isLost());
		this.table.isAway = false;
		await(() -> !this.follower.isLost());
	}

	@Test
	public void neverGoesBackToOlderRecords() {
		this.table.put("a", "1");
		this.table.put("a", "2");
		this.follower.start();
		await(() -> "2".equals(this.seen.get("a")));
		this.peerAnswer = new Message.TableContent(TABLE, 9, List.of(new Message.TableRecord("a", "old", 0)));
		this.table.isAway = true;
		await(() -> this.follower.offset() == 9);
		Assert.assertEquals(this.seen.get("a"), "2");
	}

	@Test
	public void asksAPeerWhenANoticeSaysMoreThanThePlatformDelivered() {
		this.table.put("a", "1");
		this.follower.start();
		await(() -> "1".equals(this.seen.get("a")));
		this.peerAnswer = new Message.TableContent(TABLE, 3, List.of(new Message.TableRecord("a", "3", 2)));
		this.follower.noticed(3);
		await(() -> "3".equals(this.seen.get("a")));
	}

	@Test
	public void givesPeersOnlyWhatTheyLack() {
		this.table.put("a", "1");
		this.table.put("b", "2");
		this.follower.start();
		await(() -> this.seen.size() == 2);
		Message.TableContent content = (Message.TableContent) this.follower.recordsSince(1);
		Assert.assertEquals(content.records(), List.of(new Message.TableRecord("b", "2", 1)));
		Assert.assertEquals(content.end(), 2);
	}

	/**
	 * A table in memory that can be away and can lose its history.
	 */
	private static final class Table implements KeyedTablePort {

		private final List<Entry> records = new ArrayList<>();

		private int first;

		private volatile boolean isAway;

		synchronized void put(String key, String value) {
			this.records.add(new Entry(key, value.getBytes(StandardCharsets.UTF_8), this.records.size()));
		}

		synchronized void removeSilently(String key) {
			put(key, "");
			this.first = this.records.size();
		}

		private <T> CompletableFuture<T> away() {
			return CompletableFuture.failedFuture(new PoplarloomException(ErrorCode.LOG_UNAVAILABLE, "away"));
		}

		@Override
		public synchronized CompletableFuture<Page> newest(String table) {
			if (this.isAway) {
				return away();
			}
			Map<String, Entry> newest = new ConcurrentHashMap<>();
			this.records.forEach((entry) -> newest.put(entry.key(), entry));
			newest.values().removeIf(Entry::isRemoval);
			return CompletableFuture
				.completedFuture(new Page(this.records.size(), false, List.copyOf(newest.values())));
		}

		@Override
		public synchronized CompletableFuture<Page> read(String table, long from, long waitMillis) {
			if (this.isAway) {
				return away();
			}
			if (from < this.first) {
				return CompletableFuture.completedFuture(new Page(from, true, List.of()));
			}
			int start = (int) Math.min(from, this.records.size());
			return CompletableFuture.completedFuture(new Page(Math.max(from, this.records.size()), false,
					this.records.subList(start, this.records.size())));
		}

		@Override
		public CompletableFuture<Long> put(String table, String key, byte[] value) {
			put(key, new String(value, StandardCharsets.UTF_8));
			return CompletableFuture.completedFuture(0L);
		}

	}

}
