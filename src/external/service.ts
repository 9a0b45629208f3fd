/** The interface of a plain HTTP service beside the engines. */

/** A call that is passed through. `body` is at most the gateway's body limit. */
export interface ServiceRequest {
  requestId: string
  method: string
  /** Path with query, as the caller sent it, without the service's prefix. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
}

/** The service's answer, passed through whatever its status. */
export interface ServiceResponse {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}

/** One backend server of a plain service. Calls reject with the error classes of `base/errors`. */
export interface ServiceApi {
  readonly server: string
  /**
   * Rejects with `NotRunError` only on proof: the connection was refused, or the server answered 503 with
   * `x-not-run: true`. An answer with an `x-request-id` must name this request; connections are kept only for servers
   * that send it.
   */
  call (request: ServiceRequest, options: { signal?: AbortSignal }): Promise<ServiceResponse>
  /** Whether the server is healthy and whether it is in graceful shutdown. */
  health (options: { timeoutMs: number }): Promise<{ draining: boolean }>
}
