/**
 * The HTTP interfaces for callers, operators and metrics scrapers.
 */
package org.poplarloom.entry.http;
