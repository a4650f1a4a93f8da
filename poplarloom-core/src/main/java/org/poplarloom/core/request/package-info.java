/**
 * What lives for one request: its shape, its grants and the order of its answer pieces.
 */
package org.poplarloom.core.request;
