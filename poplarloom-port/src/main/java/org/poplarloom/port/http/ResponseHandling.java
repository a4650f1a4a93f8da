package org.poplarloom.port.http;

/**
 * What a connection does with a response whose head has arrived.
 */
public enum ResponseHandling {

	/** The body is passed on, and the connection may be used again. */
	READ,
	/**
	 * The body is passed on, and the connection is closed after it, because the response
	 * may belong to another request.
	 */
	READ_AND_CLOSE,
	/**
	 * The response belongs to an earlier request: its body is skipped and the next
	 * response is awaited; the connection is closed after that.
	 */
	SKIP

}
