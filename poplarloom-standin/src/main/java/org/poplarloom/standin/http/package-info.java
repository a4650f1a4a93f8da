/**
 * Small HTTP servers that speak the published protocols of the platform, for tests and
 * the demo.
 */
package org.poplarloom.standin.http;
