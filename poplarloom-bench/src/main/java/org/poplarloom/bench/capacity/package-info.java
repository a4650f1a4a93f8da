/**
 * Experiments that measure how heap, message sizes and processor time grow with the size
 * of the system.
 */
package org.poplarloom.bench.capacity;
