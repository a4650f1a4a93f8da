package org.poplarloom.bench.decision;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.poplarloom.core.EndpointId;
import org.poplarloom.core.process.EndpointReport;
import org.poplarloom.standin.engine.EngineModel;
import org.poplarloom.standin.engine.EngineSettings;
import org.poplarloom.standin.engine.Sequence;

/**
 * An engine model that runs in virtual time.
 * <p>
 * This class is not thread-safe.
 */
final class VirtualEngine {

	private final VirtualTime time;

	private final EndpointId id;

	private final EngineSettings settings;

	private final EngineModel model;

	private final Map<String, Listener> listeners = new HashMap<>();

	private boolean stepping;

	private int generation;

	private int crashes;

	private int highestConcurrency;

	VirtualEngine(VirtualTime time, EndpointId id, EngineSettings settings, double startedMillis) {
		this.time = time;
		this.id = id;
		this.settings = settings;
		this.model = EngineModel.startingAt(settings, (long) startedMillis);
	}

	void submit(Sequence sequence, Listener listener) {
		this.listeners.put(sequence.id(), listener);
		boolean bears = this.model.submit(sequence, this.time.nowMillis());
		this.highestConcurrency = Math.max(this.highestConcurrency, this.model.size());
		if (!bears) {
			crash();
		}
		else if (!this.stepping) {
			step();
		}
	}

	private void step() {
		EngineModel.Step step = this.model.step();
		this.stepping = step.millis() > 0;
		if (!this.stepping) {
			return;
		}
		int running = this.generation;
		this.time.after(step.millis(), () -> {
			if (running != this.generation) {
				return;
			}
			step.produced().forEach(this::deliver);
			step();
		});
	}

	private void deliver(Sequence sequence) {
		Listener listener = this.listeners.get(sequence.id());
		if (listener == null) {
			return;
		}
		if (sequence.isFinished() && !sequence.isParked()) {
			this.listeners.remove(sequence.id());
		}
		listener.token(sequence);
	}

	void cancel(String key) {
		this.listeners.remove(key);
		this.model.cancel(key);
	}

	void crash() {
		this.crashes++;
		this.generation++;
		this.stepping = false;
		Map<String, Listener> lost = new HashMap<>(this.listeners);
		this.listeners.clear();
		this.model.restart(this.time.nowMillis() + this.settings.restartMillis());
		lost.values().forEach(Listener::lost);
	}

	boolean isUp() {
		return this.model.startedMillis() <= this.time.nowMillis();
	}

	EndpointReport report() {
		return report(1);
	}

	/**
	 * Describes the engine with a part of its capacity.
	 * @param parts the number of equal parts
	 * @return the report of one part
	 */
	EndpointReport report(int parts) {
		return new EndpointReport(this.id, this.id + "-" + this.model.boots(), !isUp(), Set.of("model"),
				Math.max(1, this.settings.slots() / parts), this.settings.kvTokens() / parts,
				this.settings.sustainedTokensPerSecond(), 0, this.time.nowMillis() - this.model.startedMillis(),
				Set.of(), this.time.nowMillis());
	}

	EndpointId id() {
		return this.id;
	}

	EngineModel model() {
		return this.model;
	}

	int crashes() {
		return this.crashes;
	}

	int highestConcurrency() {
		return this.highestConcurrency;
	}

	/**
	 * Learns what becomes of a sequence.
	 */
	interface Listener {

		/**
		 * Takes the next token.
		 * @param sequence the sequence
		 */
		void token(Sequence sequence);

		/**
		 * Learns that the engine has crashed.
		 */
		void lost();

	}

}
