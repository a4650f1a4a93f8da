/**
 * The HTTP interfaces for callers, operators and scrapers.
 */
package org.poplarloom.entry.http;
