const lowestSuccessStatus = 200;
const lowestRedirectionStatus = 300;
const lowestFailureStatus = 500;

/** Whether a response is a success; false without a response. */
export function isSuccess(status: number | undefined): boolean {
  return status !== undefined && status >= lowestSuccessStatus && status < lowestRedirectionStatus;
}

/** Whether a response tells of a failure of the upstream rather than of the request; without a status there is no response. */
export function isUpstreamFailure(status: number | undefined): boolean {
  return status === undefined || status >= lowestFailureStatus;
}
