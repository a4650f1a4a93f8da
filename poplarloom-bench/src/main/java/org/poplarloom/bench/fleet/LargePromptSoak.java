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
 * Sends prompts of up to more than twice an engine's memory while engines crash,
 * connections fail, callers give up and entry instances end, and checks that engines get
 * all their memory back.
 * <p>
 * This class is not thread-safe.
 */
public final class LargePromptSoak {

	private static final long KV_TOKENS = 100_000;

	private static final int SHORTEST = 60_000;

	private static final int LONGEST = 230_000;

	private static final int ANSWER_TOKENS = 10;

	private static final int CALLERS = 12;

	private static final long TIMEOUT_MILLIS = 30_000;

	private static final long GIVE_UP_MILLIS = 150;

	private static final long FREE_MILLIS = 40_000;

	private static final long FREE_POLL_MILLIS = 100;

	private static final EngineSettings ENGINE = new EngineSettings(1_500_000, 32_768, 2, KV_TOKENS, 64, 0, 64, 500, 64,
			true);

	private final int prompts;

	private final Random random;

	private final Caller caller = new Caller();

	private int whole;

	private int refused;

	private int failed;

	private int halfLookingWhole;

	private int faults;

	private long heldAtEnd;

	/**
	 * Creates the soak.
	 * @param prompts the number of prompts
	 * @param seed the seed of lengths and faults
	 */
	public LargePromptSoak(int prompts, long seed) {
		this.prompts = prompts;
		this.random = new Random(seed);
	}

	/**
	 * Runs the soak.
	 * @return the table
	 */
	public Report run() {
		LocalSystem.Layout layout = LocalSystem.Layout.DEFAULT.withSizes(2, 3)
			.withEngine(ENGINE)
			.withRamp(new ColdStartRamp.Settings(8, 1, 100));
		ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
		try (LocalSystem system = LocalSystem.start(layout, SampleContracts.generous())) {
			List<CompletableFuture<Void>> asked = new ArrayList<>();
			for (int i = 0; i < this.prompts; i++) {
				asked.add(ask(system, callers));
				if (asked.size() >= CALLERS) {
					asked.remove(0).join();
				}
				bringAboutFault(system);
			}
			asked.forEach(CompletableFuture::join);
			system.engines().values().forEach((engine) -> engine.faults().setDown(false));
			this.heldAtEnd = awaitFree(system);
		}
		finally {
			callers.shutdownNow();
		}
		Report report = new Report("large-prompts", "prompts", "faults", "whole", "refused", "failed",
				"half_looking_whole", "tokens_held_at_end");
		report.add(this.prompts, this.faults, this.whole, this.refused, this.failed, this.halfLookingWhole,
				this.heldAtEnd);
		return report;
	}

	private CompletableFuture<Void> ask(LocalSystem system, ExecutorService callers) {
		int tokens = SHORTEST + this.random.nextInt(LONGEST - SHORTEST);
		boolean givesUp = this.random.nextInt(10) == 0;
		List<String> urls = system.urls();
		String url = urls.get(this.random.nextInt(urls.size()));
		String text = "history " + this.random.nextLong();
		return CompletableFuture.runAsync(() -> {
			byte[] body = Caller.prompt(tokens, ANSWER_TOKENS, text);
			count(this.caller.ask(url, SampleContracts.ROTA_KEY, body, givesUp ? GIVE_UP_MILLIS : TIMEOUT_MILLIS));
		}, callers);
	}

	private synchronized void count(Caller.Answer answer) {
		if (answer.isWhole() && answer.error().isEmpty()) {
			this.whole += (answer.pieces() == ANSWER_TOKENS) ? 1 : 0;
			this.halfLookingWhole += (answer.pieces() == ANSWER_TOKENS) ? 0 : 1;
		}
		else if (answer.error().contains("\"executed\":\"no\"")) {
			this.refused++;
		}
		else {
			this.failed++;
		}
	}

	private void bringAboutFault(LocalSystem system) {
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
		Daemon ended = system.daemons().remove(name);
		ended.close();
		system.list().remove(name);
		String zone = ended.node().settings().zone().value();
		system.addDaemon(zone + "-entry-r" + this.faults, zone);
	}

	private static long awaitFree(LocalSystem system) {
		long end = System.currentTimeMillis() + FREE_MILLIS;
		long held = held(system);
		while (held > 0 && System.currentTimeMillis() < end) {
			LocalSystem.pause(FREE_POLL_MILLIS);
			held = held(system);
		}
		return held;
	}

	private static long held(LocalSystem system) {
		return system.engines().values().stream().mapToLong(EngineStandIn::usedKvTokens).sum();
	}

	/**
	 * Returns the memory that engines still held at the end.
	 * @return tokens
	 */
	public long heldAtEnd() {
		return this.heldAtEnd;
	}

	/**
	 * Returns the number of answers that looked whole and were not.
	 * @return a number from 0
	 */
	public int halfLookingWhole() {
		return this.halfLookingWhole;
	}

	/**
	 * Returns the number of whole answers.
	 * @return a number from 0
	 */
	public int whole() {
		return this.whole;
	}

}
