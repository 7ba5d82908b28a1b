/** Header field of the request for a tunnel in which an entry states its failure domain, percent-encoded. */
export const FAILURE_DOMAIN_HEADER = "failure-domain";
