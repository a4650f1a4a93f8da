/**
 * Small HTTP servers that implement the published protocols of the platform, for tests
 * and the demo.
 */
package org.poplarloom.standin.http;
