/**
 * Admission under capacity shortage: the order of requests that wait for endpoints, the
 * teams' shares of the engines' time, and what was promised to refused callers.
 */
package org.poplarloom.core.admission;
