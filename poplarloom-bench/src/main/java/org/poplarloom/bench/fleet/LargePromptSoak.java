package org.poplarloom.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.poplarloom.bench.Report;
import org.poplarloom.bench.demo.Caller;
import org.poplarloom.bench.demo.LocalSystem;
import org.poplarloom.bench.demo.SampleContracts;
import org.poplarloom.core.process.ColdStartRamp;
import org.poplarloom.entry.process.Daemon;
import org.poplarloom.standin.engine.EngineSettings;
import org.poplarloom.standin.http.EngineStandIn;

/**
 * A soak test: sends prompts of up to more than twice an engine's KV cache while engines
 * crash or become unreachable, requests time out early and entry instances stop abruptly,
 * and measures the memory that engines do not get back.
 * <p>
 * This class is not thread-safe.
 */
public final class LargePromptSoak {

	private static final long KV_CACHE_TOKENS = 100_000;

	private static final int MIN_PROMPT_TOKENS = 60_000;

	private static final int MAX_PROMPT_TOKENS = 230_000;

	private static final int ANSWER_TOKENS = 10;

	private static final int MAX_CONCURRENT_REQUESTS = 12;

	private static final long TIMEOUT_MILLIS = 30_000;

	private static final long SHORT_TIMEOUT_MILLIS = 150;

	private static final long RELEASE_TIMEOUT_MILLIS = 40_000;

	private static final long RELEASE_POLL_MILLIS = 100;

	private static final EngineSettings ENGINE_SETTINGS = new EngineSettings(1_500_000, 32_768, 2, KV_CACHE_TOKENS, 64,
			0, 64, 500, 64, true);

	private final int promptCount;

	private final Random random;

	private final Caller caller = new Caller();

	private int completed;

	private int refused;

	private int failed;

	private int undetectedTruncations;

	private int faults;

	private long kvTokensHeldAtEnd;

	/**
	 * Creates the soak test.
	 * @param promptCount the number of prompts
	 * @param seed the seed of prompt lengths, target instances and faults
	 */
	public LargePromptSoak(int promptCount, long seed) {
		this.promptCount = promptCount;
		this.random = new Random(seed);
	}

	/**
	 * Runs the soak test.
	 * @return the report
	 */
	public Report run() {
		LocalSystem.Layout layout = LocalSystem.Layout.DEFAULT.withCountsPerZone(2, 3)
			.withEngineSettings(ENGINE_SETTINGS)
			.withRamp(new ColdStartRamp.Settings(8, 1, 100));
		ExecutorService callers = Executors.newFixedThreadPool(MAX_CONCURRENT_REQUESTS);
		try (LocalSystem system = LocalSystem.start(layout, SampleContracts.withHighLimits())) {
			List<CompletableFuture<Void>> inProgress = new ArrayList<>();
			for (int i = 0; i < this.promptCount; i++) {
				inProgress.add(sendPrompt(system, callers));
				if (inProgress.size() >= MAX_CONCURRENT_REQUESTS) {
					inProgress.remove(0).join();
				}
				changeFaults(system);
			}
			inProgress.forEach(CompletableFuture::join);
			system.engines().values().forEach((engine) -> engine.faults().setDown(false));
			this.kvTokensHeldAtEnd = awaitMemoryRelease(system);
		}
		finally {
			callers.shutdownNow();
		}
		Report report = new Report("large-prompts", "prompts", "faults", "whole", "refused", "failed",
				"half_looking_whole", "tokens_held_at_end");
		report.addRow(this.promptCount, this.faults, this.completed, this.refused, this.failed,
				this.undetectedTruncations, this.kvTokensHeldAtEnd);
		return report;
	}

	private CompletableFuture<Void> sendPrompt(LocalSystem system, ExecutorService callers) {
		int promptTokens = MIN_PROMPT_TOKENS + this.random.nextInt(MAX_PROMPT_TOKENS - MIN_PROMPT_TOKENS);
		boolean hasShortTimeout = this.random.nextInt(10) == 0;
		List<String> urls = system.urls();
		String url = urls.get(this.random.nextInt(urls.size()));
		String text = "history " + this.random.nextLong();
		return CompletableFuture.runAsync(() -> {
			byte[] body = Caller.chatRequestBody(promptTokens, ANSWER_TOKENS, text);
			countOutcome(this.caller.sendChatRequest(url, SampleContracts.ROTA_KEY, body,
					hasShortTimeout ? SHORT_TIMEOUT_MILLIS : TIMEOUT_MILLIS));
		}, callers);
	}

	private synchronized void countOutcome(Caller.Answer answer) {
		if (answer.isComplete() && answer.error().isEmpty()) {
			this.completed += (answer.contiguousTokens() == ANSWER_TOKENS) ? 1 : 0;
			this.undetectedTruncations += (answer.contiguousTokens() == ANSWER_TOKENS) ? 0 : 1;
		}
		else if (answer.error().contains("\"executed\":\"no\"")) {
			this.refused++;
		}
		else {
			this.failed++;
		}
	}

	private void changeFaults(LocalSystem system) {
		List<EngineStandIn> engines = new ArrayList<>(system.engines().values());
		EngineStandIn engine = engines.get(this.random.nextInt(engines.size()));
		int choice = this.random.nextInt(40);
		if (choice < 2) {
			this.faults++;
			engine.crash();
		}
		else if (choice < 4) {
			this.faults++;
			engine.faults().setDown(true);
		}
		else if (choice < 14) {
			engines.forEach((other) -> other.faults().setDown(false));
		}
		else if (choice < 15) {
			this.faults++;
			replaceDaemon(system);
		}
	}

	private void replaceDaemon(LocalSystem system) {
		List<String> names = new ArrayList<>(system.daemons().keySet());
		String name = names.get(this.random.nextInt(names.size()));
		Daemon stopped = system.daemons().remove(name);
		stopped.close();
		system.instanceList().remove(name);
		String zone = stopped.node().settings().zone().value();
		system.addDaemon(zone + "-entry-r" + this.faults, zone);
	}

	private static long awaitMemoryRelease(LocalSystem system) {
		long deadline = System.currentTimeMillis() + RELEASE_TIMEOUT_MILLIS;
		long usedTokens = usedKvTokens(system);
		while (usedTokens > 0 && System.currentTimeMillis() < deadline) {
			LocalSystem.sleep(RELEASE_POLL_MILLIS);
			usedTokens = usedKvTokens(system);
		}
		return usedTokens;
	}

	private static long usedKvTokens(LocalSystem system) {
		return system.engines().values().stream().mapToLong(EngineStandIn::usedKvTokens).sum();
	}

	/**
	 * Returns the KV cache memory that engines still held after all requests had ended.
	 * @return the memory in tokens
	 */
	public long kvTokensHeldAtEnd() {
		return this.kvTokensHeldAtEnd;
	}

	/**
	 * Returns the number of answers that lacked tokens although they ended without an
	 * error.
	 * @return the number, 0 or more
	 */
	public int undetectedTruncations() {
		return this.undetectedTruncations;
	}

	/**
	 * Returns the number of complete answers.
	 * @return the number, 0 or more
	 */
	public int completed() {
		return this.completed;
	}

}
