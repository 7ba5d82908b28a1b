import { ServiceClass } from "../../../model/ServiceClass.js";

/**
 * Tells whether work of a service class can use the reserved slots of an endpoint.
 *
 * @param serviceClass - Service class of the work.
 * @returns True for submissions and orders.
 * @example
 * isReservedClass(ServiceClass.Order); // true
 */
export function isReservedClass(serviceClass: ServiceClass): boolean {
    return serviceClass === ServiceClass.Submission || serviceClass === ServiceClass.Order;
}
