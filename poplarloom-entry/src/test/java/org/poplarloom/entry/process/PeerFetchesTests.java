package org.poplarloom.entry.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import org.poplarloom.core.process.TablePosition;
import org.poplarloom.port.KeyedTablePort.Entry;
import org.poplarloom.wire.message.Message;

/**
 * Tests for {@link PeerFetches} of an instance that does not read the table, in virtual
 * time.
 */
public class PeerFetchesTests {

	private static final String ANY = "any";

	private static final long REPEAT_MILLIS = 500;

	private EmbeddedChannel channel;

	private TableCopy copy;

	private final List<String> queried = new ArrayList<>();

	private final List<CompletableFuture<Message>> replies = new ArrayList<>();

	private int reads;

	private PeerFetches fetches;

	@BeforeMethod
	public void start() {
		this.channel = new EmbeddedChannel();
		this.channel.freezeTime();
		this.copy = new TableCopy((restored, known) -> true, new TableCopy.RestoreGrace(200, 200));
		this.copy.merge(List.of(), at(1), 0);
		this.queried.clear();
		this.replies.clear();
		this.reads = 0;
		this.fetches = new PeerFetches("table", this.copy, new Peers(), this.channel.eventLoop(), new Reads());
	}

	private static TablePosition at(long offset) {
		return TablePosition.of(1, offset);
	}

	private void reply(int index, long next) {
		this.replies.get(index).complete(new Message.TableContent("table", at(next), List.of(), true));
		this.channel.runPendingTasks();
	}

	private void advance(long millis) {
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	/**
	 * Guards against a burst of versions that costs each member of a zone as many fetches
	 * of a large configuration.
	 */
	@Test
	public void positionsThatArriveDuringAFetchAreFetchedTogetherAfterwards() {
		for (int offset = 2; offset <= 25; offset++) {
			this.fetches.await("reader:1", at(offset));
		}
		Assert.assertEquals(this.queried, List.of("reader:1"), "the first position is fetched at once");
		reply(0, 10);
		Assert.assertEquals(this.queried, List.of("reader:1", "reader:1"));
		reply(1, 25);
		advance(10 * REPEAT_MILLIS);
		Assert.assertEquals(this.queried.size(), 2);
		Assert.assertEquals(this.copy.next(), at(25));
	}

	/** Guards against records that stay unknown because the reader froze. */
	@Test
	public void aFetchWithoutAReplyIsRepeatedAtAnotherInstance() {
		this.fetches.await("reader:1", at(2));
		advance(REPEAT_MILLIS - 1);
		Assert.assertEquals(this.queried.size(), 1);
		advance(1);
		Assert.assertEquals(this.queried, List.of("reader:1", ANY));
		reply(1, 2);
		advance(10 * REPEAT_MILLIS);
		Assert.assertEquals(this.queried.size(), 2);
	}

	/** Guards against fetches without end for a position that nobody has. */
	@Test
	public void fetchesOfAPositionThatNobodyHasEndAndALaterOneStartsThemAgain() {
		this.fetches.await("reader:1", at(2));
		for (int i = 0; i < 20; i++) {
			advance(REPEAT_MILLIS);
		}
		Assert.assertEquals(this.queried.size(), 10);
		this.fetches.await("reader:2", at(2));
		Assert.assertEquals(this.queried.get(10), "reader:2");
	}

	/** Guards against keys that a restore removed and that stay in the copy. */
	@Test
	public void aTableOfAnotherEraIsReadOnceByTheInstanceItself() {
		this.fetches.await("reader:1", TablePosition.of(2, 1));
		advance(REPEAT_MILLIS);
		Assert.assertEquals(this.reads, 1);
	}

	/**
	 * The other instances, which reply when the test says so.
	 */
	private final class Peers implements TablePeers {

		@Override
		public CompletableFuture<Message> queryAny(Message query) {
			return query(ANY, query);
		}

		@Override
		public CompletableFuture<Message> query(String address, Message query) {
			PeerFetchesTests.this.queried.add(address);
			CompletableFuture<Message> reply = new CompletableFuture<>();
			PeerFetchesTests.this.replies.add(reply);
			return reply;
		}

		@Override
		public void notifySome(Message notice) {
			throw new AssertionError("fetches notify nobody");
		}

	}

	/**
	 * An instance that does not read the table.
	 */
	private final class Reads implements PeerFetches.Reads {

		@Override
		public boolean areScheduled() {
			return false;
		}

		@Override
		public boolean isInProgress() {
			return false;
		}

		@Override
		public boolean areFailing() {
			return false;
		}

		@Override
		public void readNow() {
			PeerFetchesTests.this.reads++;
		}

		@Override
		public void merge(List<Entry> records, TablePosition next) {
			PeerFetchesTests.this.copy.merge(records, next, 0);
		}

		@Override
		public long ageMillis() {
			return 0;
		}

	}

}
