/**
 * Request processing in the entry instance: admission, grants, attempts and orders.
 */
package org.poplarloom.entry.request;
