package org.poplarloom.entry.relay;

import java.util.Arrays;

import org.poplarloom.port.relay.RelayRequest;

/**
 * How far the caller has received a stream of events.
 * <p>
 * Another endpoint may continue the stream only with the events that follow. Their ids
 * rise, but not always by one, since an event may hold several tokens. This class is not
 * thread-safe; the event loop guards it.
 */
final class StreamPosition {

	private long lastEventId;

	/** The last event that was written, or null if there was none. */
	private EventBuffer.Event lastEvent;

	/** Whether at least two ids are known and each follows the one before by one. */
	private boolean consecutive;

	private boolean idSkipped;

	/**
	 * Creates the position before the first event.
	 * @param lastEventId the last event that the caller has received in an earlier
	 * answer, or {@link RelayRequest#NO_EVENT}
	 */
	StreamPosition(long lastEventId) {
		this.lastEventId = lastEventId;
	}

	/**
	 * Returns the id of the last event that the caller has received.
	 * @return the id, or {@link RelayRequest#NO_EVENT}
	 */
	long lastEventId() {
		return this.lastEventId;
	}

	/**
	 * Returns whether the id of the last event says where another endpoint must continue.
	 * @return false if the last event that was written has no id
	 */
	boolean isKnown() {
		return this.lastEvent == null || this.lastEvent.id() != RelayRequest.NO_EVENT;
	}

	/**
	 * Returns whether the caller has already received an event.
	 * @param event the event
	 * @return true if its id is not higher than the last one, false if it has no id
	 */
	boolean isRepetition(EventBuffer.Event event) {
		return event.id() != RelayRequest.NO_EVENT && event.id() <= this.lastEventId;
	}

	/**
	 * Returns whether an event of another endpoint can be from the same stream.
	 * @param event the event
	 * @return true if it follows the last event or repeats it exactly
	 */
	boolean isContinuedBy(EventBuffer.Event event) {
		if (this.lastEvent == null || event.isComment()) {
			return true;
		}
		if (event.id() == this.lastEventId) {
			return Arrays.equals(event.bytes(), this.lastEvent.bytes());
		}
		return event.id() > this.lastEventId && (!this.consecutive || event.id() == this.lastEventId + 1);
	}

	/**
	 * Records that an event was written to the caller.
	 * @param event the event, which is no repetition
	 */
	void advance(EventBuffer.Event event) {
		if (event.isComment()) {
			return;
		}
		if (event.id() != RelayRequest.NO_EVENT) {
			if (this.lastEventId != RelayRequest.NO_EVENT) {
				this.idSkipped |= event.id() != this.lastEventId + 1;
				this.consecutive = !this.idSkipped;
			}
			this.lastEventId = event.id();
		}
		this.lastEvent = event;
	}

}
