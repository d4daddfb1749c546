/**
 * The single thread that runs the control loop of a process. It blocks while idle, and ends when the loop is closed or
 * fails.
 */
package org.ibismoor.runtime.api

import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import java.util.concurrent.Executors

/**
 * Runs [loop] on a new thread named [name] and calls [onFailure] on that thread if an exception ends the loop. The job
 * completes when the loop ends.
 */
fun startControlThread(name: String, loop: ControlLoop<*, *, *>, onFailure: (Throwable) -> Unit): Job {
    val dispatcher = Executors.newSingleThreadExecutor { Thread(it, name) }.asCoroutineDispatcher()
    val handler = CoroutineExceptionHandler { _, cause -> onFailure(cause) }
    val job = CoroutineScope(dispatcher + handler).launch { loop.run() }
    job.invokeOnCompletion { dispatcher.close() }
    return job
}
