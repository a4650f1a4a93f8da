/**
 * Values that belong to one request: the shape of its body, its grants and the order of
 * its answer chunks.
 */
package org.poplarloom.core.request;
