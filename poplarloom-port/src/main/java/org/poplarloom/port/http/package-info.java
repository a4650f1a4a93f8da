/**
 * Implementations of the ports over HTTP, and the HTTP clients that they use.
 */
package org.poplarloom.port.http;
