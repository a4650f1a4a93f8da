/**
 * One connection between two instances: authentication, pending requests and traffic
 * counters.
 */
package org.poplarloom.wire.connection;
