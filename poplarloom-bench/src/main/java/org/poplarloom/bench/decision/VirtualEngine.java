package org.poplarloom.bench.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.standin.engine.EngineSettings;
import org.poplarloom.standin.engine.Sequence;
import org.poplarloom.standin.engine.SimulatedEngine;

/**
 * Runs a simulated engine in virtual time and crashes it when it is overloaded while
 * cold.
 * <p>
 * This class is not thread-safe.
 */
final class VirtualEngine {

	private final VirtualTimeScheduler scheduler;

	private final EndpointId id;

	private final EngineSettings settings;

	private final SimulatedEngine simulatedEngine;

	private final Map<String, Listener> listeners = new HashMap<>();

	private boolean stepScheduled;

	private int boot;

	private int crashes;

	private int maxConcurrency;

	VirtualEngine(VirtualTimeScheduler scheduler, EndpointId id, EngineSettings settings, double startedMillis) {
		this.scheduler = scheduler;
		this.id = id;
		this.settings = settings;
		this.simulatedEngine = SimulatedEngine.startingAt(settings, (long) startedMillis);
	}

	void submit(Sequence sequence, Listener listener) {
		this.listeners.put(sequence.id(), listener);
		boolean isAccepted = this.simulatedEngine.submit(sequence, this.scheduler.nowMillis());
		this.maxConcurrency = Math.max(this.maxConcurrency, this.simulatedEngine.size());
		if (!isAccepted) {
			crash();
		}
		else if (!this.stepScheduled) {
			step();
		}
	}

	private void step() {
		SimulatedEngine.Step step = this.simulatedEngine.step();
		this.stepScheduled = step.millis() > 0;
		if (!this.stepScheduled) {
			return;
		}
		int stepBoot = this.boot;
		this.scheduler.scheduleAfter(step.millis(), () -> {
			if (stepBoot != this.boot) {
				return;
			}
			step.generated().forEach(this::deliver);
			step();
		});
	}

	private void deliver(Sequence sequence) {
		Listener listener = this.listeners.get(sequence.id());
		if (listener == null) {
			return;
		}
		if (sequence.isFinished() && !sequence.isPrefilledSegment()) {
			this.listeners.remove(sequence.id());
		}
		listener.onToken(sequence);
	}

	void cancel(String key) {
		this.listeners.remove(key);
		this.simulatedEngine.cancel(key);
	}

	void crash() {
		this.crashes++;
		this.boot++;
		this.stepScheduled = false;
		Map<String, Listener> lostListeners = new HashMap<>(this.listeners);
		this.listeners.clear();
		this.simulatedEngine.restart(this.scheduler.nowMillis() + this.settings.restartMillis());
		lostListeners.values().forEach(Listener::onCrash);
	}

	boolean isUp() {
		return this.simulatedEngine.startedMillis() <= this.scheduler.nowMillis();
	}

	EndpointReport report() {
		return report(1);
	}

	/**
	 * Returns a report on an equal fraction of the capacity of the engine.
	 * @param capacityDivisor the number of fractions that the capacity is split into
	 * @return the report on one of them
	 */
	EndpointReport report(int capacityDivisor) {
		return new EndpointReport(this.id, this.id + "-" + this.simulatedEngine.bootCount(), !isUp(), Set.of("model"),
				Math.max(1, this.settings.slots() / capacityDivisor), this.settings.kvTokens() / capacityDivisor,
				this.settings.sustainedTokensPerSecond(), 0,
				this.scheduler.nowMillis() - this.simulatedEngine.startedMillis(), Set.of(),
				this.scheduler.nowMillis());
	}

	EndpointId id() {
		return this.id;
	}

	SimulatedEngine simulatedEngine() {
		return this.simulatedEngine;
	}

	int crashes() {
		return this.crashes;
	}

	int maxConcurrency() {
		return this.maxConcurrency;
	}

	/**
	 * Receives the events of a sequence.
	 */
	interface Listener {

		/**
		 * Handles the next token; a prefilled segment produces one.
		 * @param sequence the sequence
		 */
		void onToken(Sequence sequence);

		/**
		 * Handles a crash of the engine, which loses the sequence.
		 */
		void onCrash();

	}

}
