package org.poplarloom.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.poplarloom.bench.demo.Caller;
import org.poplarloom.bench.demo.LocalSystem;

/**
 * An open-loop load generator: sends requests at a given mean rate, whether or not
 * earlier ones have been answered.
 * <p>
 * The gaps between requests are exponentially distributed. The same seed gives the same
 * gaps, prompt lengths and target instances. This class is thread-safe.
 */
final class OpenLoopLoad implements AutoCloseable {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final ExecutorService senders = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "caller");
		thread.setDaemon(true);
		return thread;
	});

	private final Queue<Sample> samples = new ConcurrentLinkedQueue<>();

	private final Caller caller = new Caller();

	private final Random random;

	private final String key;

	private final Supplier<List<String>> urls;

	private volatile boolean running = true;

	OpenLoopLoad(long seed, String key, Supplier<List<String>> urls) {
		this.random = new Random(seed);
		this.key = key;
		this.urls = urls;
	}

	/**
	 * Starts to send requests.
	 * @param requestsPerSecond the mean rate in requests per second
	 * @param minPromptTokens the minimum prompt length in tokens
	 * @param maxPromptTokens the maximum prompt length in tokens
	 * @param answerTokens the answer length in tokens
	 * @param timeoutMillis the timeout that each request states, in milliseconds
	 */
	void start(double requestsPerSecond, int minPromptTokens, int maxPromptTokens, int answerTokens,
			long timeoutMillis) {
		Thread thread = new Thread(() -> {
			double nextMillis = System.nanoTime() / 1e6;
			while (this.running) {
				nextMillis += -Math.log(1 - this.random.nextDouble()) / requestsPerSecond * MILLIS_PER_SECOND;
				int promptTokens = minPromptTokens + this.random.nextInt(maxPromptTokens - minPromptTokens + 1);
				List<String> targets = this.urls.get();
				String url = targets.get(this.random.nextInt(targets.size()));
				String text = "question " + this.random.nextLong();
				LocalSystem.sleep(Math.max(0, (long) (nextMillis - System.nanoTime() / 1e6)));
				if (this.running) {
					this.senders.execute(() -> send(url, promptTokens, answerTokens, text, timeoutMillis));
				}
			}
		}, "load");
		thread.setDaemon(true);
		thread.start();
	}

	private void send(String url, int promptTokens, int answerTokens, String text, long timeoutMillis) {
		long startMillis = System.currentTimeMillis();
		Caller.Answer answer = this.caller.sendChatRequest(url, this.key,
				Caller.chatRequestBody(promptTokens, answerTokens, text), timeoutMillis);
		boolean isComplete = answer.isComplete() && answer.contiguousTokens() == answerTokens
				&& answer.error().isEmpty();
		this.samples.add(new Sample(startMillis, promptTokens, answer, isComplete));
	}

	/**
	 * Stops sending and waits for the answers in progress.
	 * @param maxWaitMillis the maximum wait in milliseconds
	 */
	void finish(long maxWaitMillis) {
		this.running = false;
		this.senders.shutdown();
		try {
			this.senders.awaitTermination(maxWaitMillis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Returns the requests that were sent in a time range and have ended.
	 * @param fromMillis the start of the range in milliseconds since the epoch, inclusive
	 * @param untilMillis the end of the range in milliseconds since the epoch, exclusive
	 * @return the outcomes of the requests
	 */
	List<Sample> samples(long fromMillis, long untilMillis) {
		List<Sample> selected = new ArrayList<>();
		for (Sample sample : this.samples) {
			if (sample.startedMillis() >= fromMillis && sample.startedMillis() < untilMillis) {
				selected.add(sample);
			}
		}
		return selected;
	}

	@Override
	public void close() {
		this.running = false;
		this.senders.shutdownNow();
	}

	/**
	 * The outcome of one request.
	 *
	 * @param startedMillis the time at which it was sent, in milliseconds since the epoch
	 * @param promptTokens the prompt length in tokens
	 * @param answer the answer
	 * @param isComplete whether the answer has all its tokens and no error
	 */
	record Sample(long startedMillis, int promptTokens, Caller.Answer answer, boolean isComplete) {
	}

}
