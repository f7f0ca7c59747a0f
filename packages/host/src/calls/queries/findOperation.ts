import type { ServiceObject, ServiceOperation } from "@currantrill/core";

/**
 * Finds the first declared operation that matches a method and path. A path prefix matches whole path segments only.
 */
export function findOperation(service: ServiceObject, method: string, path: string): ServiceOperation | undefined {
    return service.operations.find(operation =>
        (operation.method === "*" || operation.method.toUpperCase() === method) && isWithinPrefix(path, operation.path)
    );
}

function isWithinPrefix(path: string, prefix: string): boolean {
    return path === prefix || path.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
}
