/**
 * What lives for one request in the daemon: admission, attempts, orders.
 */
package org.poplarloom.entry.request;
