/**
 * A simulated inference engine that runs in virtual or real time.
 */
package org.poplarloom.standin.engine;
