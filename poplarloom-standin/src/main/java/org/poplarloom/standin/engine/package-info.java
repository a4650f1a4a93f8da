/**
 * A model of an inference engine that runs in virtual or real time.
 */
package org.poplarloom.standin.engine;
