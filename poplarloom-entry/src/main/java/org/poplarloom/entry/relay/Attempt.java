package org.poplarloom.entry.relay;

/**
 * One attempt to get an answer to a request.
 * <p>
 * An attempt that fails reports that to its run once; one that is cancelled reports
 * nothing. Implementations need not be thread-safe; the event loop guards them.
 */
interface Attempt {

	/**
	 * Returns who was to answer, for the log.
	 * @return the name of the endpoint or of the instance that the request went through
	 */
	String answeredBy();

	/**
	 * Returns the number of the exchange on its connection.
	 * @return the number, from 1, or 0 if no response has begun or it is not known
	 */
	int exchangeNumber();

	/**
	 * Returns whether somebody may have received the request.
	 * @return false while it waits to be sent
	 */
	boolean isSent();

	/**
	 * Pauses or resumes reading the answer.
	 * @param isReading true if there is room for more of the answer
	 */
	void setReading(boolean isReading);

	/**
	 * Ends the attempt without a result.
	 */
	void cancel();

	/**
	 * Handles the loss of the link to the endpoints.
	 */
	default void handleLostLink() {
	}

}
