/**
 * Adapters that reach the platform over HTTP.
 */
package org.poplarloom.port.http;
