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
 * Sends requests at a given rate, whether or not earlier ones have been answered.
 * <p>
 * The same seed gives the same gaps, lengths and instances. This class is thread-safe.
 */
final class OpenLoad implements AutoCloseable {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
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

	OpenLoad(long seed, String key, Supplier<List<String>> urls) {
		this.random = new Random(seed);
		this.key = key;
		this.urls = urls;
	}

	/**
	 * Starts to send.
	 * @param requestsPerSecond the rate
	 * @param shortest the shortest prompt in tokens
	 * @param longest the longest prompt in tokens
	 * @param answerTokens the answer length in tokens
	 * @param timeoutMillis the deadline of each request in milliseconds
	 */
	void start(double requestsPerSecond, int shortest, int longest, int answerTokens, long timeoutMillis) {
		Thread thread = new Thread(() -> {
			double next = System.nanoTime() / 1e6;
			while (this.running) {
				next += -Math.log(1 - this.random.nextDouble()) / requestsPerSecond * MILLIS_PER_SECOND;
				int tokens = shortest + this.random.nextInt(longest - shortest + 1);
				List<String> targets = this.urls.get();
				String url = targets.get(this.random.nextInt(targets.size()));
				String text = "question " + this.random.nextLong();
				LocalSystem.pause(Math.max(0, (long) (next - System.nanoTime() / 1e6)));
				if (this.running) {
					this.threads.execute(() -> send(url, tokens, answerTokens, text, timeoutMillis));
				}
			}
		}, "load");
		thread.setDaemon(true);
		thread.start();
	}

	private void send(String url, int tokens, int answerTokens, String text, long timeoutMillis) {
		long start = System.currentTimeMillis();
		Caller.Answer answer = this.caller.ask(url, this.key, Caller.prompt(tokens, answerTokens, text), timeoutMillis);
		boolean isWhole = answer.isWhole() && answer.pieces() == answerTokens && answer.error().isEmpty();
		this.samples.add(new Sample(start, tokens, answer, isWhole));
	}

	/**
	 * Stops sending and waits for the answers.
	 * @param waitMillis the longest wait in milliseconds
	 */
	void finish(long waitMillis) {
		this.running = false;
		this.threads.shutdown();
		try {
			this.threads.awaitTermination(waitMillis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Returns the ended requests that started in a span of time.
	 * @param fromMillis the start of the span in milliseconds since the epoch
	 * @param untilMillis the end of the span
	 * @return the samples
	 */
	List<Sample> samples(long fromMillis, long untilMillis) {
		List<Sample> chosen = new ArrayList<>();
		for (Sample sample : this.samples) {
			if (sample.startedMillis() >= fromMillis && sample.startedMillis() < untilMillis) {
				chosen.add(sample);
			}
		}
		return chosen;
	}

	@Override
	public void close() {
		this.running = false;
		this.threads.shutdownNow();
	}

	/**
	 * One ended request.
	 *
	 * @param startedMillis when it was sent, in milliseconds since the epoch
	 * @param tokens the prompt length in tokens
	 * @param answer what came back
	 * @param isWhole whether the whole answer came
	 */
	record Sample(long startedMillis, int tokens, Caller.Answer answer, boolean isWhole) {
	}

}
