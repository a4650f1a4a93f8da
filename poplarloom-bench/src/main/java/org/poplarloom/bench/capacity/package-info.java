/**
 * Measures how state, messages and processor time grow with the size of the system.
 */
package org.poplarloom.bench.capacity;
